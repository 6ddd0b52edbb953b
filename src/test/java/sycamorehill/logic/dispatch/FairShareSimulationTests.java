package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.WorkspaceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests by simulation what a flood of one workspace costs the others at 26 nodes. The 24
 * workspaces have skewed loads that swing by 0.55, with a burst at 25 s, and one of them
 * may ask for ten times its load. Figures are means of five seeds, with the same arrivals
 * whether fair shares apply or not.
 */
class FairShareSimulationTests {

	private static final int NODES = 26;

	private static final int WORKSPACES = 24;

	private static final int SEEDS = 5;

	private static final int FIRST_FURTHER_SEED = 11;

	private static final Duration DURATION = Duration.ofSeconds(45);

	private static final WorkspaceName FLOODING = name(3);

	/** Load without a flood, of which the swing leaves a part of the capacity unused. */
	private static final double MODERATE = 0.6;

	/** Load that exceeds the capacity for half of each swing. */
	private static final double HIGH = 0.9;

	private static WorkspaceName name(int index) {
		return WorkspaceName.of(String.format(Locale.ROOT, "w%02d", index));
	}

	private static double weight(int index) {
		return Math.pow(index + 1, -0.9);
	}

	private static List<FairShareSimulation.Load> loads(double load, double flood) {
		double sum = IntStream.range(0, WORKSPACES).mapToDouble(FairShareSimulationTests::weight).sum();
		List<FairShareSimulation.Load> loads = new ArrayList<>();
		for (int index = 0; index < WORKSPACES; index++) {
			double factor = name(index).equals(FLOODING) ? flood : 1;
			double rate = load * FairShareSimulation.CAPACITY * weight(index) / sum * factor;
			loads.add(new FairShareSimulation.Load(name(index), Math.max(1, (int) (24 * weight(index))), 0.5,
					(seconds) -> rate * wave(seconds)));
		}
		return loads;
	}

	private static double wave(double seconds) {
		double burst = (seconds > 25 && seconds < 27) ? 1.3 : 1;
		return (1 + 0.55 * Math.sin(2 * Math.PI * seconds / 20)) * burst;
	}

	private static Runs run(double load, double flood, boolean shares, UnaryOperator<FairShareSimulation> setting) {
		return run(load, flood, shares, setting, 1);
	}

	private static Runs run(double load, double flood, boolean shares, UnaryOperator<FairShareSimulation> setting,
			int firstSeed) {
		return new Runs(IntStream.range(firstSeed, firstSeed + SEEDS)
			.mapToObj((seed) -> setting.apply(FairShareSimulation.of(NODES, loads(load, flood), shares, seed))
				.run(DURATION))
			.toList());
	}

	private static Runs run(double load, double flood, boolean shares) {
		return run(load, flood, shares, UnaryOperator.identity());
	}

	// Without shares, a tenth of the requests of the other workspaces are refused because
	// one asks for ten times its load.
	@Test
	void aFloodCostsTheOthersNoMoreThanTwoInAHundred() {
		Runs calm = run(MODERATE, 1, true);
		Runs off = run(MODERATE, 10, false);
		Runs on = run(MODERATE, 10, true);
		assertThat(on.servedPartOfOthers()).as(on.toString()).isGreaterThan(0.98 * calm.servedPartOfOthers());
		assertThat(off.servedPartOfOthers()).as(off.toString()).isLessThan(0.95 * calm.servedPartOfOthers());
		for (int index = 0; index < WORKSPACES; index++) {
			WorkspaceName workspace = name(index);
			assertThat(on.servedPart(workspace)).as(workspace + " " + on).isGreaterThan(0.25 * on.servedPartOfAll());
		}
	}

	// The constants of the shares were chosen on the seeds of the other tests, so that
	// these alone could hide a flood that costs the others more.
	@Test
	void aFloodCostsTheOthersNoMoreThanTwoInAHundredOnFurtherSeeds() {
		Runs calm = run(MODERATE, 1, true, UnaryOperator.identity(), FIRST_FURTHER_SEED);
		Runs on = run(MODERATE, 10, true, UnaryOperator.identity(), FIRST_FURTHER_SEED);
		assertThat(on.servedPartOfOthers()).as(on.toString()).isGreaterThan(0.98 * calm.servedPartOfOthers());
	}

	// A slot must not stay idle while workspaces over their shares ask for it.
	@Test
	void sharesLeaveNoMoreSlotsIdleInAnOverload() {
		for (double flood : new double[] { 1, 10 }) {
			Runs off = run(HIGH, flood, false);
			Runs on = run(HIGH, flood, true);
			assertThat(on.busyPart()).as(on + " " + off).isGreaterThan(0.99 * off.busyPart());
			assertThat(on.servedPartOfAll()).as(on + " " + off).isGreaterThan(0.99 * off.servedPartOfAll());
			assertThat(on.firstEventMillis()).as(on + " " + off).isLessThan(off.firstEventMillis());
		}
	}

	@Test
	void urgentRoutesAreServedNoLessThanOthers() {
		Runs on = run(HIGH, 10, true);
		assertThat(on.mean((run) -> run.total().urgentServedPart()))
			.isGreaterThan(on.mean((run) -> run.total().lessUrgentServedPart()));
	}

	@Test
	void lostLoadMessagesCostTheOthersLittle() {
		Runs calm = run(MODERATE, 1, true);
		Runs on = run(MODERATE, 10, true, (simulation) -> simulation.withLostMessages(0.3));
		assertThat(on.servedPartOfOthers()).as(on.toString()).isGreaterThan(0.97 * calm.servedPartOfOthers());
	}

	// Two nodes send and receive no load messages, and decide by their own figures.
	@Test
	void nodesThatAreCutOffDecideByTheirOwnFigures() {
		Runs calm = run(MODERATE, 1, true);
		Runs on = run(MODERATE, 10, true, (simulation) -> simulation.withCutOffNodes(2));
		assertThat(on.servedPartOfOthers()).as(on.toString()).isGreaterThan(0.97 * calm.servedPartOfOthers());
	}

	/**
	 * Runs with several seeds.
	 */
	private record Runs(List<FairShareSimulation> runs) {

		double mean(ToDoubleFunction<FairShareSimulation> value) {
			return this.runs.stream().mapToDouble(value).average().orElseThrow();
		}

		double servedPart(WorkspaceName workspace) {
			return mean((run) -> run.result(workspace).servedPart());
		}

		double servedPartOfAll() {
			return mean((run) -> run.total().servedPart());
		}

		double servedPartOfOthers() {
			return mean((run) -> (double) (run.total().served() - run.result(FLOODING).served())
					/ (run.total().asked() - run.result(FLOODING).asked()));
		}

		double busyPart() {
			return mean(FairShareSimulation::busyPartInOverload);
		}

		double firstEventMillis() {
			return mean((run) -> run.total().firstEventMillis(0.9));
		}

		@Override
		public String toString() {
			String workspaces = this.runs.get(0)
				.results()
				.keySet()
				.stream()
				.sorted()
				.map((name) -> String.format(Locale.ROOT, "%s %.3f/%.0f", name, servedPart(name),
						mean((run) -> run.result(name).firstEventMillis(0.5))))
				.collect(Collectors.joining(" "));
			return String.format(Locale.ROOT,
					"all %.4f others %.4f on-time %.3f p90 %.0f ms busy %.4f urgent %.3f/%.3f; served/median ms: %s",
					servedPartOfAll(), servedPartOfOthers(),
					mean((run) -> (double) run.total().onTime() / run.total().asked()), firstEventMillis(), busyPart(),
					mean((run) -> run.total().urgentServedPart()), mean((run) -> run.total().lessUrgentServedPart()),
					workspaces);
		}

	}

}
