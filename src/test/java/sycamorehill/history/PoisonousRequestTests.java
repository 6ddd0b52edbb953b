package sycamorehill.history;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.request.Idempotency;

import static org.assertj.core.api.Assertions.assertThat;

class PoisonousRequestTests {

	private static final String CONTENT = FakeTarget.POISON + "-1";

	// One request crashes each target that runs it. Its caller sends it again through
	// whichever node the balancer takes, and replica after replica goes down.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void crashesAtMostTwoTargetsHoweverOftenItIsSent(long seed) {
		HistoryWorld world = loaded(seed);
		for (int round = 0; round < 20; round++) {
			world.call(world.drawBelow(3), Idempotency.REPEATABLE, CONTENT);
			world.run(Duration.ofMillis(500L + world.drawBelow(3000)));
		}
		assertThat(deaths(world)).hasSizeBetween(1, 2);
	}

	// An order without a key crashes its target. Its caller is told "unknown" at once and
	// sends the order again, as a new one, through another node.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void orderThatIsSentAnewCrashesAtMostTwoTargets(long seed) {
		HistoryWorld world = loaded(seed);
		for (int round = 0; round < 20; round++) {
			world.call(round % 3, Idempotency.ONCE_WITHOUT_KEY, CONTENT);
			world.run(Duration.ofMillis(300));
		}
		assertThat(deaths(world)).hasSizeBetween(1, 2);
	}

	// The callers whose requests ran beside the poisonous one are refused as if theirs
	// had
	// crashed the targets.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void bystandersAreServed(long seed) {
		HistoryWorld world = loaded(seed);
		world.call(0, Idempotency.REPEATABLE, CONTENT);
		world.run(Duration.ofSeconds(30));
		assertThat(world.callers()).filteredOn((caller) -> !caller.content().equals(CONTENT))
			.hasSizeGreaterThan(50)
			.allMatch(CallerRecord::completed);
	}

	@Test
	void quarantineReachesAllNodes() {
		HistoryWorld world = loaded(1);
		world.call(0, Idempotency.REPEATABLE, CONTENT);
		world.run(Duration.ofSeconds(10));
		assertThat(world.nodes()).allMatch((node) -> node.logic.quarantine().quarantinedCount() == 1);
	}

	// A node joins after the quarantine was decided, lets the content through, and two
	// more
	// targets die.
	@Test
	void nodeThatJoinsLaterLearnsOfTheQuarantine() {
		HistoryWorld world = loaded(1);
		world.call(0, Idempotency.REPEATABLE, CONTENT);
		world.run(Duration.ofSeconds(10)).restart(2);
		world.run(Duration.ofSeconds(60));
		assertThat(world.nodes().get(2).logic.quarantine().quarantinedCount()).isEqualTo(1);
	}

	// Two copies of the content are sent to two nodes at the same moment: both targets
	// die
	// before anything is suspected, and the third copy must not run.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 16 })
	void copiesSentAtTheSameMomentCrashNoThirdTarget(long seed) {
		HistoryWorld world = loaded(seed);
		world.call(0, Idempotency.REPEATABLE, CONTENT);
		world.call(1, Idempotency.REPEATABLE, CONTENT);
		world.run(Duration.ofSeconds(10));
		world.call(2, Idempotency.REPEATABLE, CONTENT);
		world.run(Duration.ofSeconds(10));
		assertThat(deaths(world)).hasSize(2);
	}

	private HistoryWorld loaded(long seed) {
		HistoryWorld world = new HistoryWorld(seed, HistoryFaults.none(), 3, 6);
		for (int number = 0; number < 60; number++) {
			String content = "c" + number;
			int node = world.drawBelow(3);
			world.at(Duration.ofMillis(20L * number), () -> world.call(node, Idempotency.REPEATABLE, content));
		}
		world.run(Duration.ofMillis(300));
		return world;
	}

	private List<String> deaths(HistoryWorld world) {
		return world.allTargets().stream().flatMap((target) -> target.deaths.stream()).toList();
	}

}
