package sycamorehill.logic.layout;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * The loads from the weight store to the hosts of spare engines that are under way, and
 * how many more may begin.
 */
final class WeightLoads {

	/**
	 * A load that did not show after so many times its length is taken as lost: few more
	 * run than do at full speed.
	 */
	private static final int LOAD_TIMES = 2;

	/**
	 * Loads that groups wait for, against those that run at full speed. Beyond these all
	 * are slower, but a group is worth more than the spares that load beside it.
	 */
	private static final double MOST_AWAITED = 1.5;

	/**
	 * Loads begun side by side before traffic, against those that run at full speed: the
	 * next one is then always there when one ends.
	 */
	private static final int LOADS_BEFORE_TRAFFIC = 2;

	private final LoadBudget budget;

	private final StartPhase phase;

	private final Map<TargetName, Load> loads = new HashMap<>();

	private boolean loadsBefore;

	private WeightLoads(LoadBudget budget, StartPhase phase) {
		this.budget = budget;
		this.phase = phase;
	}

	static WeightLoads of(LoadBudget budget, StartPhase phase) {
		return new WeightLoads(budget, phase);
	}

	/**
	 * Forgets all loads: another node may have ordered some meanwhile.
	 * @param anotherBefore whether another node gave orders before
	 */
	void clear(boolean anotherBefore) {
		this.loads.clear();
		this.loadsBefore |= anotherBefore;
	}

	// What the controller before began is not known: it had at most as many loads under
	// way as run at full speed.
	private void countLoadsBefore(EngineFigures figures, Instant now) {
		if (this.loadsBefore) {
			this.loadsBefore = false;
			this.budget.begin(figures.loadsAtOnce(), now);
		}
	}

	/**
	 * Whether one more load may begin.
	 * @param awaited whether a group waits for it
	 * @param figures what the engines do
	 * @param now the present time
	 * @return true if it may
	 */
	boolean mayBegin(boolean awaited, EngineFigures figures, Instant now) {
		countLoadsBefore(figures, now);
		boolean fast = this.phase.beforeTraffic(now);
		double most = figures.loadsAtOnce() * (fast ? LOADS_BEFORE_TRAFFIC : (awaited ? MOST_AWAITED : 1));
		return this.loads.size() < most && (fast || this.budget.allows(1, figures.loadsPerSecond(), now));
	}

	void begun(TargetEntry engine, ModelFigures model, Instant now) {
		this.loads.put(engine.name(), new Load(model, engine.bornMillis(), now));
		if (!this.phase.beforeTraffic(now)) {
			this.budget.begin(1, now);
		}
	}

	void refused(TargetName engine) {
		this.loads.remove(engine);
	}

	int running() {
		return this.loads.size();
	}

	/**
	 * The model that an engine's host is loading.
	 * @param engine the engine
	 * @return the model's name
	 */
	Optional<String> loading(TargetEntry engine) {
		return Optional.ofNullable(this.loads.get(engine.name())).map((load) -> load.model().name());
	}

	/**
	 * Forgets loads that show in the directory, and those that were lost.
	 * @param engines all engines of the service
	 * @param now the present time
	 */
	void look(List<TargetEntry> engines, Instant now) {
		Map<TargetName, TargetEntry> present = new HashMap<>();
		engines.forEach((engine) -> present.put(engine.name(), engine));
		this.loads.entrySet().removeIf((each) -> over(present.get(each.getKey()), each.getValue(), now));
	}

	private static boolean over(TargetEntry engine, Load load, Instant now) {
		return engine == null || engine.bornMillis() != load.bornMillis()
				|| engine.staged().contains(load.model().name())
				|| now.isAfter(load.since().plus(load.model().coldLoad().multipliedBy(LOAD_TIMES)));
	}

	/**
	 * A load under way.
	 *
	 * @param model the model
	 * @param bornMillis the engine's life
	 * @param since when it was ordered
	 */
	private record Load(ModelFigures model, long bornMillis, Instant since) {
	}

}
