package sycamorehill.logic.ticket;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.support.NodeGroup;
import sycamorehill.support.Policies;
import sycamorehill.support.TicketFiler;
import sycamorehill.support.TicketHistory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that concurrent filings through six nodes in three data centres form one log,
 * while calls and answers are lost, delayed and duplicated, nodes pause and restart, data
 * centres are partitioned and the platform is unavailable. The system properties
 * {@code -Dsycamorehill.seeds=N -Dsycamorehill.firstSeed=M} select other seeds.
 */
class TicketHistoryTests {

	private static final String[] DATA_CENTRES = { "fukuoka", "kumamoto", "kagoshima" };

	private static final int NODES = 6;

	private static final int FILERS = 4;

	private static final int FAULTS = 14;

	private static final long FIRST_SEED = Long.getLong("sycamorehill.firstSeed", 1);

	private static final long SEEDS = Long.getLong("sycamorehill.seeds", 40);

	static LongStream seeds() {
		return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void concurrentFilingsFormOneLog(long seed) {
		assertThat(run(seed).faults()).isEmpty();
	}

	@Test
	void someConcurrentFilingsAreAccepted() {
		// A history without any accepted filing would pass every other check.
		assertThat(run(1).accepted()).isGreaterThan(20);
	}

	private static TicketHistory run(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		NodeGroup group = NodeGroup.create(random, Policies.shortHistory());
		TicketHistory history = TicketHistory.create();
		group.observe(history::seen);
		for (int index = 0; index < NODES; index++) {
			group.start("node-" + (index + 1), DATA_CENTRES[index / 2]);
		}
		group.runFor(Duration.ofSeconds(4));
		List<TicketFiler> filers = new ArrayList<>();
		for (int index = 0; index < FILERS; index++) {
			filers.add(TicketFiler.start(group, history, random, "filer-" + index));
		}
		for (int fault = 0; fault < FAULTS; fault++) {
			injectFault(group, random);
			group.runFor(Duration.ofMillis(random.nextInt(8000)));
		}
		filers.forEach(TicketFiler::end);
		removeFaults(group);
		group.runFor(Duration.ofSeconds(75));
		long numbers = group.nodes().stream().map((node) -> node.ticket().log().number()).distinct().count();
		assertThat(numbers).as("different numbers at the end").isEqualTo(1);
		return history;
	}

	private static void injectFault(NodeGroup group, SplittableRandom random) {
		String node = "node-" + (random.nextInt(NODES) + 1);
		String dataCentre = DATA_CENTRES[random.nextInt(DATA_CENTRES.length)];
		switch (random.nextInt(9)) {
			case 0 -> group.platform().faults(0.1, 0.1, 0.1);
			case 1 -> group.platform().down(true);
			case 2 -> group.platform().down(false);
			case 3 -> group.pause(node, Duration.ofMillis(random.nextInt(20_000)));
			case 4 -> group.start(node, DATA_CENTRES[(node.charAt(5) - '1') / 2]);
			case 5 -> group.platformReachable(dataCentre, random.nextBoolean());
			case 6 -> partition(group, DataCentreName.of(dataCentre));
			case 7 -> group.cut((from, to) -> false);
			default -> group.links(0.1, 0.1);
		}
	}

	private static void partition(NodeGroup group, DataCentreName name) {
		group.cut((from, to) -> from.dataCentre().equals(name) != to.dataCentre().equals(name));
	}

	private static void removeFaults(NodeGroup group) {
		group.platform().faults(0, 0, 0);
		group.platform().down(false);
		group.links(0, 0);
		group.cut((from, to) -> false);
		for (String dataCentre : DATA_CENTRES) {
			group.platformReachable(dataCentre, true);
		}
	}

}
