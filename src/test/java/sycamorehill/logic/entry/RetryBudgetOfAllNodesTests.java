package sycamorehill.logic.entry;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the nodes together stay within the retry budget, as targets and callers
 * count it.
 */
class RetryBudgetOfAllNodesTests {

	/** The deployments whose bounds are known, from few nodes to many. */
	private static final List<RetryBudgetWorld.Site> SITES = List.of(new RetryBudgetWorld.Site(6, 3, 103, 128),
			new RetryBudgetWorld.Site(9, 3, 136, 116), new RetryBudgetWorld.Site(9, 3, 136, 200),
			new RetryBudgetWorld.Site(20, 3, 150, 200), new RetryBudgetWorld.Site(40, 4, 110, 160));

	private static final RetryBudgetWorld.Site NINE_NODES = SITES.get(1);

	private static final RetryBudgetWorld.Site TWENTY_NODES = SITES.get(3);

	/** From the start of the nodes to the first request. */
	private static final Duration LEAD = Duration.ofSeconds(15);

	private static RetryBudgetWorld start(RetryBudgetWorld.Site site, long seed) {
		RetryBudgetWorld world = new RetryBudgetWorld(site, seed);
		world.run(LEAD);
		world.startTraffic();
		return world;
	}

	private static void assertWithinBound(RetryBudgetWorld world) {
		assertThat(world.evaluate().worst()).isEmpty();
	}

	@Test
	void allNodesKeepToTheBoundWhileTargetsRefuse() {
		RetryBudgetWorld world = start(NINE_NODES, 1);
		world.run(Duration.ofSeconds(3));
		world.setRefusedShare(0.7);
		world.run(Duration.ofSeconds(26));
		assertWithinBound(world);
	}

	// A restarted process would spend the share of its node a second time.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4 })
	void restartedNodesDoNotSpendTheirShareTwice(int seed) {
		RetryBudgetWorld world = start(NINE_NODES, seed);
		world.run(Duration.ofSeconds(3));
		world.setRefusedShare(0.7);
		world.run(Duration.ofSeconds(3));
		for (int kill = 0; kill < 3; kill++) {
			world.nodes().stream().limit(7).forEach((node) -> world.kill(node, Duration.ofMillis(500)));
			world.run(Duration.ofMillis(2500));
		}
		world.run(Duration.ofSeconds(14));
		assertWithinBound(world);
	}

	// Nodes at both ends of a cut would divide the allowance among fewer nodes than spend
	// it.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4 })
	void nodesThatAreCutOffFromEachOtherDoNotSpendMoreThanTheirShares(int seed) {
		RetryBudgetWorld world = start(TWENTY_NODES, seed);
		world.run(Duration.ofSeconds(3));
		world.setRefusedShare(0.7);
		world.run(Duration.ofSeconds(1));
		world.nodes().stream().limit(15).forEach((node) -> world.cut(List.of(node), false, Duration.ofSeconds(20)));
		world.run(Duration.ofSeconds(22));
		assertWithinBound(world);
	}

	// Retries that a partition holds up would arrive together with those of the next
	// window.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4 })
	void retriesThatAreHeldUpCountUntilTheyArrive(int seed) {
		RetryBudgetWorld world = start(NINE_NODES, seed);
		world.run(Duration.ofSeconds(3));
		world.setRefusedShare(0.9);
		world.run(Duration.ofMillis(200));
		world.holdTargets(0.7, Duration.ofMillis(5800));
		world.run(Duration.ofSeconds(25));
		assertWithinBound(world);
	}

	// Kills, stops, pauses, cuts, added and removed nodes come in series and overlap.
	@Property(seed = "44", tries = 60, shrinking = ShrinkingMode.OFF)
	void allNodesTogetherKeepToTheBoundInEveryWindow(@ForAll long seed) {
		Random random = new Random(seed);
		RetryBudgetWorld world = start(SITES.get(random.nextInt(SITES.size())), seed);
		world.setLossShare(random.nextBoolean() ? 0.01 : 0.2);
		Disruptions disruptions = new Disruptions(world, random);
		for (int round = 0; round < 12; round++) {
			disruptions.next();
			world.run(Duration.ofMillis(500 + random.nextInt(5000)));
		}
		assertWithinBound(world);
	}

	/**
	 * Draws disruptions.
	 */
	private static final class Disruptions {

		private final RetryBudgetWorld world;

		private final Random random;

		Disruptions(RetryBudgetWorld world, Random random) {
			this.world = world;
			this.random = random;
		}

		void next() {
			this.world.setRefusedShare((this.random.nextInt(4) == 0) ? 0 : 0.5 + this.random.nextDouble() / 2);
			this.world.setUnconnectedShare((this.random.nextInt(4) == 0) ? 0.3 : 0);
			List<String> some = this.world.draw(0.2 + 0.7 * this.random.nextDouble());
			switch (this.random.nextInt(10)) {
				case 0 -> some.forEach((node) -> this.world.kill(node, time(200, 3000)));
				case 1 -> killInSeries(some);
				case 2 -> some.forEach(this.world::stop);
				case 3 -> stopInTurn(some);
				case 4 -> some.forEach((node) -> this.world.pause(node, time(500, 5000)));
				case 5 -> this.world.cut(some, this.random.nextBoolean(), time(1000, 20_000));
				case 6 -> some
					.forEach((node) -> this.world.cut(List.of(node), this.random.nextBoolean(), time(1000, 20_000)));
				case 7 -> replace(some);
				case 8 -> this.world.holdTargets(0.9 * this.random.nextDouble(), time(1000, 10_000));
				default -> this.world.cutFromStore(some, time(1000, 20_000));
			}
		}

		private void killInSeries(List<String> nodes) {
			nodes.forEach((node) -> {
				for (int again = 0; again < 4; again++) {
					this.world.after(Duration.ofMillis(2500L * again),
							() -> this.world.kill(node, Duration.ofMillis(500)));
				}
			});
		}

		private void stopInTurn(List<String> nodes) {
			Duration delay = Duration.ZERO;
			for (String node : nodes) {
				this.world.after(delay, () -> this.world.stop(node));
				delay = delay.plusSeconds(1);
			}
		}

		private void replace(List<String> nodes) {
			nodes.stream().limit(2).forEach((node) -> {
				this.world.removeForGood(node);
				this.world.after(time(500, 3000), this.world::addNode);
			});
			if (this.random.nextBoolean()) {
				this.world.addNode();
			}
		}

		private Duration time(int minimumMillis, int maximumMillis) {
			return Duration.ofMillis(minimumMillis + this.random.nextInt(maximumMillis - minimumMillis));
		}

	}

}
