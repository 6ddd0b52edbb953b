package sycamorehill.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a silence is reported only after the sockets have been read.
 */
class StreamMonitorTests {

	private static final TargetName FIRST = TargetName.of("a");

	private static final TargetName SECOND = TargetName.of("b");

	private final List<EntryEvent> reported = new ArrayList<>();

	private final Queue<Runnable> afterNextRead = new ArrayDeque<>();

	private long now = 1;

	private final StreamMonitor monitor = StreamMonitor.of(this.reported::add, () -> this.now, this.afterNextRead::add);

	private void startStreams() {
		for (TargetName target : List.of(FIRST, SECOND)) {
			this.monitor.targets().recordRequestSent(target, this.now);
			this.monitor.targets().recordStreamStarted(target, this.now);
		}
		this.monitor.nodes().recordRequestSent("n", this.now);
		this.monitor.nodes().recordStreamStarted("n", this.now);
	}

	private void pass(Duration time) {
		this.now += time.toNanos();
		this.monitor.check();
	}

	private void recordProgress() {
		this.monitor.targets().recordProgress(FIRST, this.now);
		this.monitor.targets().recordProgress(SECOND, this.now);
		this.monitor.nodes().recordProgress("n", this.now);
	}

	private void runAfterNextRead() {
		while (!this.afterNextRead.isEmpty()) {
			this.afterNextRead.remove().run();
		}
	}

	// Several short stalls in a row, as a series of configurations causes them: each
	// check comes in time, and still all bytes wait in the sockets.
	@Test
	void bytesThatAreReadAfterALateCheckAreNoSilence() {
		startStreams();
		for (int number = 0; number < 10; number++) {
			pass(Duration.ofMillis(200));
		}
		assertThat(this.reported).isEmpty();
		recordProgress();
		runAfterNextRead();
		assertThat(this.reported).isEmpty();
	}

	@Test
	void aSilenceThatLastsAfterTheReadIsReportedOnce() {
		startStreams();
		for (int number = 0; number < 10; number++) {
			pass(Duration.ofMillis(100));
			runAfterNextRead();
		}
		assertThat(this.reported).containsExactlyInAnyOrder(new EntryEvent.AllTargetsSilent(),
				new EntryEvent.TargetsStalled(Set.of(FIRST, SECOND), true), new EntryEvent.TargetSilent(FIRST, true),
				new EntryEvent.TargetSilent(SECOND, true), new EntryEvent.ProxySilent("n"));
	}

	// Each additional timer wakes the process.
	@Test
	void nothingIsScheduledWhileStreamsGoOn() {
		startStreams();
		for (int number = 0; number < 10; number++) {
			pass(Duration.ofMillis(100));
			recordProgress();
		}
		assertThat(this.afterNextRead).isEmpty();
	}

	// Guards against streams that leave a target for one that is as silent.
	@Test
	void stalledTargetsAreReportedBeforeTheSilences() {
		startStreams();
		for (int number = 0; number < 7; number++) {
			pass(Duration.ofMillis(100));
			if (number < 2) {
				this.monitor.targets().recordProgress(SECOND, this.now);
			}
			runAfterNextRead();
		}
		assertThat(this.reported).startsWith(new EntryEvent.AllTargetsSilent());
		assertThat(this.reported.indexOf(new EntryEvent.TargetsStalled(Set.of(FIRST, SECOND), true))).isPositive()
			.isLessThan(this.reported.indexOf(new EntryEvent.TargetSilent(FIRST, true)));
		assertThat(this.reported).doesNotContain(new EntryEvent.TargetSilent(SECOND, true));
	}

	// Guards against streams that wait for ever because a silence is reported once only.
	@Test
	void aSilenceThatLastsIsReportedAgain() {
		startStreams();
		for (int number = 0; number < 26; number++) {
			pass(Duration.ofMillis(100));
			runAfterNextRead();
		}
		assertThat(this.reported.stream().filter(new EntryEvent.TargetStillSilent(FIRST, true)::equals)).hasSize(1);
		assertThat(this.reported.stream().filter(new EntryEvent.TargetSilent(FIRST, true)::equals)).hasSize(1);
		assertThat(this.reported.stream().filter(new EntryEvent.ProxySilent("n")::equals)).hasSize(2);
	}

	// Guards against targets that stay ejected after they have gone on.
	@Test
	void aSilentTargetThatGoesOnIsReported() {
		startStreams();
		for (int number = 0; number < 8; number++) {
			pass(Duration.ofMillis(100));
			runAfterNextRead();
		}
		recordProgress();
		pass(Duration.ofMillis(100));
		assertThat(this.reported).filteredOn(EntryEvent.TargetResumed.class::isInstance)
			.containsExactlyInAnyOrder(new EntryEvent.TargetResumed(FIRST), new EntryEvent.TargetResumed(SECOND));
	}

}
