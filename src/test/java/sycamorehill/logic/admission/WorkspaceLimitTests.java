package sycamorehill.logic.admission;

import java.time.Duration;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import sycamorehill.model.peer.ShareAmounts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that the usable shares of a workspace's limits never add up to more than the
 * limits.
 */
class WorkspaceLimitTests {

	private static final double ROUNDING = 1e-6;

	private static final Duration STEP = Duration.ofMillis(50);

	private static final int DATA_CENTRES = 3;

	private static final int NODES = 2 * DATA_CENTRES;

	/**
	 * Guards against a workspace that temporarily gets more than its limit. Demand moves
	 * between nodes while messages are lost, delayed by seconds and duplicated, nodes
	 * crash and restart under the same name, and a data centre is partitioned. The sum
	 * exceeds the limit if a borrower counts a loan longer than its lender, or if a
	 * restarted lender has forgotten one.
	 */
	@Property(tries = 150, seed = "20")
	void theSumOfSharesNeverExceedsTheLimit(@ForAll long seed) {
		Random random = new Random(seed);
		LimitSharingSimulation simulation = LimitSharingSimulation.create(DATA_CENTRES, 2, seed);
		simulation.faults(random.nextDouble() * 0.4, random.nextDouble() * 0.4, 5 + random.nextInt(4000));
		for (int step = 0; step < 300; step++) {
			int busy = (step / 60 + (int) (seed & 7)) % NODES;
			for (int call = random.nextInt(6); call > 0; call--) {
				simulation.request((random.nextInt(4) > 0) ? busy : random.nextInt(NODES));
			}
			injectFault(simulation, random);
			simulation.run(STEP);
			assertWithinLimit(simulation.usableByAll());
		}
	}

	private static void injectFault(LimitSharingSimulation simulation, Random random) {
		switch (random.nextInt(60)) {
			case 0 -> simulation.restart(random.nextInt(NODES));
			case 1 -> simulation.crash(random.nextInt(NODES));
			case 2 -> simulation.partition(random.nextInt(DATA_CENTRES));
			case 3, 4 -> simulation.partition(-1);
			default -> {
			}
		}
	}

	private static void assertWithinLimit(ShareAmounts sum) {
		assertThat(sum.requests()).isLessThanOrEqualTo(LimitSharingSimulation.WORKSPACE.requestsPerSecond() + ROUNDING);
		assertThat(sum.tokens())
			.isLessThanOrEqualTo(LimitSharingSimulation.WORKSPACE.tokensPerSecond() * (1 + ROUNDING));
		assertThat(sum.inFlight()).isLessThanOrEqualTo(LimitSharingSimulation.WORKSPACE.inFlight() + ROUNDING);
	}

	@Test
	void aBusyNodeGetsMostOfTheLimitWhileTheOthersAreIdle() {
		LimitSharingSimulation simulation = LimitSharingSimulation.create(DATA_CENTRES, 2, 1);
		simulation.run(Duration.ofSeconds(3));
		sendRequests(simulation, 0, 60, Duration.ofSeconds(4));
		assertThat(simulation.usable(0).requests())
			.isGreaterThan(0.8 * LimitSharingSimulation.WORKSPACE.requestsPerSecond());
	}

	/**
	 * Guards against refusing all requests in a partitioned data centre. The loans from
	 * the others expire, but its nodes keep their owned shares and serve requests at that
	 * rate.
	 */
	@Test
	void aPartitionedDataCentreKeepsItsOwnedShare() {
		LimitSharingSimulation simulation = LimitSharingSimulation.create(DATA_CENTRES, 2, 1);
		simulation.run(Duration.ofSeconds(3));
		sendRequests(simulation, 0, 60, Duration.ofSeconds(3));
		simulation.partition(0);
		sendRequests(simulation, 0, 60, Duration.ofSeconds(4));
		assertThat(simulation.usable(0).requests()).isBetween(
				0.9 * LimitSharingSimulation.WORKSPACE.requestsPerSecond() / DATA_CENTRES,
				LimitSharingSimulation.WORKSPACE.requestsPerSecond() / DATA_CENTRES + ROUNDING);
	}

	@Test
	void aStartedNodeOwnsNothingUntilEarlierLoansMustHaveExpired() {
		LimitSharingSimulation simulation = LimitSharingSimulation.create(1, 1, 1);
		simulation.request(0);
		simulation.run(Duration.ofSeconds(1));
		assertThat(simulation.usable(0)).isEqualTo(ShareAmounts.NONE);
	}

	private static void sendRequests(LimitSharingSimulation simulation, int node, int perSecond, Duration time) {
		long steps = time.dividedBy(STEP);
		double due = 0;
		for (long step = 0; step < steps; step++) {
			for (due += perSecond * STEP.toMillis() / 1000.0; due >= 1; due--) {
				simulation.request(node);
			}
			simulation.run(STEP);
		}
	}

}
