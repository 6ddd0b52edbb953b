package sycamorehill.history;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Frames are lost, late and doubled, connections break, targets refuse and die, nodes
 * pause and restart, callers leave. More seeds than the fixed ones are run with
 * {@code -Dsycamorehill.history.first=} and {@code -Dsycamorehill.history.seeds=}.
 */
class RequestHistoryTests {

	private static final int NODES = 3;

	private static final Duration CALLING = Duration.ofSeconds(15);

	private static final Duration DRAINING = Duration.ofSeconds(90);

	static LongStream seeds() {
		long first = Long.getLong("sycamorehill.history.first", 1);
		return LongStream.range(first, first + Long.getLong("sycamorehill.history.seeds", 12));
	}

	// A caller hears nothing for ever, or two answers; reads a token twice, or one of
	// another attempt, or takes a cut answer for the whole; hears "not run" of a request
	// that a target has run; or its order is delivered twice.
	@ParameterizedTest
	@MethodSource("seeds")
	void everyCallerIsToldTheTruthOnce(long seed) {
		HistoryWorld world = history(seed);
		assertThat(world.callers()).hasSizeGreaterThan(100)
			.allSatisfy((caller) -> assertThat(caller.nodeDied || caller.outcomes.size() == 1).isTrue());
		assertThat(world.callers()).allSatisfy(this::tokensAreItsOwn);
		assertThat(world.callers()).filteredOn(this::notRun)
			.allSatisfy((caller) -> assertThat(world.runs(caller)).isZero());
		assertThat(world.callers()).filteredOn((caller) -> caller.handling != Idempotency.REPEATABLE)
			.allSatisfy((caller) -> assertThat(world.runs(caller)).isLessThanOrEqualTo(1));
	}

	private void tokensAreItsOwn(CallerRecord caller) {
		List<String> expected = caller.expected();
		assertThat(caller.foreign).isFalse();
		assertThat(caller.tokens).isEqualTo(expected.subList(0, Math.min(caller.tokens.size(), expected.size())));
		if (caller.completed() && caller.handling == Idempotency.REPEATABLE) {
			assertThat(caller.tokens).hasSameSizeAs(expected);
		}
	}

	private boolean notRun(CallerRecord caller) {
		return !caller.outcomes.isEmpty() && caller.outcomes.get(0) instanceof RequestOutcome.NotRun;
	}

	private HistoryWorld history(long seed) {
		HistoryWorld world = new HistoryWorld(seed, HistoryFaults.many(), NODES, 5);
		while (Duration.between(Instant.EPOCH, world.now()).compareTo(CALLING) < 0) {
			act(world);
			world.run(Duration.ofMillis(10L + world.drawBelow(80)));
		}
		return world.run(DRAINING);
	}

	private void act(HistoryWorld world) {
		int node = world.drawBelow(NODES);
		int drawn = world.drawBelow(100);
		if (drawn < 2) {
			world.nodes().get(node).pause(Duration.ofMillis(world.drawBelow(12_000)));
		}
		else if (drawn < 3) {
			world.restart(node);
		}
		else {
			call(world, node, drawn);
		}
	}

	private void call(HistoryWorld world, int node, int drawn) {
		Idempotency handling = Idempotency.values()[world.drawBelow(Idempotency.values().length)];
		String content = ((drawn == 3) ? FakeTarget.POISON : "c") + world.callers().size();
		CallerRecord caller = world.call(node, handling, content);
		if (drawn < 15) {
			world.at(Duration.ofMillis(world.drawBelow(400)), () -> world.leave(node, caller));
		}
	}

}
