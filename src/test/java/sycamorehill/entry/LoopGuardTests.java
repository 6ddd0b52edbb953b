package sycamorehill.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import sycamorehill.model.log.LogEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what follows from errors in tasks of the event loop.
 */
class LoopGuardTests {

	private static final Duration TICK = Duration.ofMillis(100);

	private Instant now = Instant.EPOCH;

	private final AtomicInteger stops = new AtomicInteger();

	private final LoopGuard guard = LoopGuard.of(() -> this.now, this.stops::incrementAndGet);

	private void tick(int times, Runnable step) {
		for (int number = 0; number < times; number++) {
			this.guard.runPeriodicStep(step);
			this.now = this.now.plus(TICK);
		}
	}

	private static void throwError() {
		throw new OutOfMemoryError("thrown by a test");
	}

	private static void throwException() {
		throw new IllegalStateException("thrown by a test");
	}

	// A node whose heap is full serves nobody and would not end either.
	@Test
	void aNodeWhoseEveryStepThrowsAnErrorStopsAsPlannedOnce() {
		tick(30, LoopGuardTests::throwError);
		assertThat(this.stops).hasValue(0);
		tick(30, LoopGuardTests::throwError);
		assertThat(this.stops).hasValue(1);
	}

	// All nodes read the same configurations: if an exception stopped them, all would
	// stop together.
	@Test
	void exceptionsDoNotStopTheNode() {
		tick(100, LoopGuardTests::throwException);
		assertThat(this.stops).hasValue(0);
		assertThat(this.guard.failures()).isEqualTo(100);
	}

	// A short lack of memory passes, and an end would cut all streams.
	@Test
	void errorsBetweenGoodStepsDoNotStopTheNode() {
		for (int number = 0; number < 10; number++) {
			tick(20, LoopGuardTests::throwError);
			tick(1, () -> {
			});
		}
		assertThat(this.stops).hasValue(0);
	}

	// A request that makes its own step fail, and comes again and again, must not stop a
	// node.
	@Test
	void errorsOfOtherTasksDoNotStopTheNode() {
		for (int number = 0; number < 100; number++) {
			this.guard.run(LogEvent.EFFECT_FAILED, "a task", LoopGuardTests::throwError);
			this.now = this.now.plus(TICK);
		}
		assertThat(this.stops).hasValue(0);
		assertThat(this.guard.failures()).isEqualTo(100);
	}

}
