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
final class WeightLoadTracker {

	/**
	 * A load that did not show after so many times its length is taken as lost: few more
	 * run than do at full speed.
	 */
	private static final int LOAD_TIMEOUT_FACTOR = 2;

	/**
	 * Loads that groups wait for, against those that run at full speed. Beyond these all
	 * are slower, but a group is worth more than the spares that load beside it.
	 */
	private static final double GROUP_LOAD_FACTOR = 1.5;

	/**
	 * Loads begun side by side before traffic, against those that run at full speed: the
	 * next one is then always there when one ends.
	 */
	private static final int STARTUP_LOAD_FACTOR = 2;

	private final LoadBudget budget;

	private final StartupPhase phase;

	private final Map<TargetName, Load> loads = new HashMap<>();

	private boolean earlierLoadsUncounted;

	private WeightLoadTracker(LoadBudget budget, StartupPhase phase) {
		this.budget = budget;
		this.phase = phase;
	}

	static WeightLoadTracker of(LoadBudget budget, StartupPhase phase) {
		return new WeightLoadTracker(budget, phase);
	}

	/**
	 * Forgets all loads: another node may have ordered some meanwhile.
	 * @param hadPreviousController whether another node gave orders before
	 */
	void clear(boolean hadPreviousController) {
		this.loads.clear();
		this.earlierLoadsUncounted |= hadPreviousController;
	}

	// What the controller before began is not known: it had at most as many loads under
	// way as run at full speed.
	private void countEarlierLoads(EngineFigures parameters, Instant now) {
		if (this.earlierLoadsUncounted) {
			this.earlierLoadsUncounted = false;
			this.budget.recordStarted(parameters.loadsAtOnce(), now);
		}
	}

	/**
	 * Whether one more load may begin.
	 * @param blocksGroup whether a group waits for it
	 * @param parameters what the engines do
	 * @param now the present time
	 * @return true if it may
	 */
	boolean mayStart(boolean blocksGroup, EngineFigures parameters, Instant now) {
		countEarlierLoads(parameters, now);
		boolean beforeTraffic = this.phase.beforeTraffic(now);
		double maximum = parameters.loadsAtOnce()
				* (beforeTraffic ? STARTUP_LOAD_FACTOR : (blocksGroup ? GROUP_LOAD_FACTOR : 1));
		return this.loads.size() < maximum
				&& (beforeTraffic || this.budget.allows(1, parameters.loadsPerSecond(), now));
	}

	void recordStarted(TargetEntry engine, ModelFigures model, Instant now) {
		this.loads.put(engine.name(), new Load(model, engine.bornMillis(), now));
		if (!this.phase.beforeTraffic(now)) {
			this.budget.recordStarted(1, now);
		}
	}

	void recordRefused(TargetName engine) {
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
	Optional<String> loadingModel(TargetEntry engine) {
		return Optional.ofNullable(this.loads.get(engine.name())).map((load) -> load.model().name());
	}

	/**
	 * Forgets loads that show in the directory, and those that were lost.
	 * @param engines all engines of the service
	 * @param now the present time
	 */
	void removeFinished(List<TargetEntry> engines, Instant now) {
		Map<TargetName, TargetEntry> present = new HashMap<>();
		engines.forEach((engine) -> present.put(engine.name(), engine));
		this.loads.entrySet().removeIf((each) -> hasEnded(present.get(each.getKey()), each.getValue(), now));
	}

	private static boolean hasEnded(TargetEntry engine, Load load, Instant now) {
		return engine == null || engine.bornMillis() != load.startMillis()
				|| engine.staged().contains(load.model().name())
				|| now.isAfter(load.since().plus(load.model().coldLoad().multipliedBy(LOAD_TIMEOUT_FACTOR)));
	}

	/**
	 * A load under way.
	 *
	 * @param model the model
	 * @param startMillis the engine's life
	 * @param since when it was ordered
	 */
	private record Load(ModelFigures model, long startMillis, Instant since) {
	}

}
