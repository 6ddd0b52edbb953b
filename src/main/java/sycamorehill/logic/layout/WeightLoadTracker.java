package sycamorehill.logic.layout;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Tracks the running loads from the weight store to the hosts of spare engines, and
 * decides whether more may start.
 */
final class WeightLoadTracker {

	/**
	 * Multiple of a model's cold load time after which a load that is not listed in the
	 * directory counts as lost. Only a few more loads run than can run at full speed.
	 */
	private static final int LOAD_TIMEOUT_FACTOR = 2;

	/**
	 * Maximum number of loads while groups wait for them, relative to the number that
	 * runs at full speed. Beyond that number all loads are slower, but a group is worth
	 * more than the spares that load at the same time.
	 */
	private static final double GROUP_LOAD_FACTOR = 1.5;

	/**
	 * Number of concurrent loads before traffic, relative to the number that runs at full
	 * speed, so that the next load is always ready when one ends.
	 */
	private static final int STARTUP_LOAD_FACTOR = 2;

	private final LoadBudget budget;

	private final StartupPhase phase;

	private final Map<TargetName, Load> loads = new HashMap<>();

	private int uncountedControllers;

	private WeightLoadTracker(LoadBudget budget, StartupPhase phase) {
		this.budget = budget;
		this.phase = phase;
	}

	static WeightLoadTracker of(LoadBudget budget, StartupPhase phase) {
		return new WeightLoadTracker(budget, phase);
	}

	/**
	 * Forgets all loads, because other nodes may have started some in the meantime.
	 * @param recentControllers number of controllers before this one whose loads may
	 * still count
	 */
	void clear(int recentControllers) {
		this.loads.clear();
		this.uncountedControllers = Math.max(this.uncountedControllers, recentControllers);
	}

	// The loads that earlier controllers started are not known. The one before had about
	// as many running as run at full speed. Several within a window may have used it up.
	private void countEarlierLoads(EngineParameters parameters, Instant now) {
		if (this.uncountedControllers == 1) {
			this.budget.recordStarted(parameters.fullSpeedLoads(), now);
		}
		else if (this.uncountedControllers > 1) {
			this.budget.recordUsedUp(parameters.loadsPerSecond(), now);
		}
		this.uncountedControllers = 0;
	}

	/**
	 * Returns whether one more load may start.
	 * @param blocksGroup whether a group waits for the load
	 * @param parameters the parameters of the engines
	 * @param now the current time
	 * @return true if the load may start
	 */
	boolean mayStart(boolean blocksGroup, EngineParameters parameters, Instant now) {
		countEarlierLoads(parameters, now);
		boolean beforeTraffic = this.phase.beforeTraffic(now);
		double maximum = parameters.fullSpeedLoads()
				* (beforeTraffic ? STARTUP_LOAD_FACTOR : (blocksGroup ? GROUP_LOAD_FACTOR : 1));
		return this.loads.size() < maximum
				&& (beforeTraffic || this.budget.allows(1, parameters.loadsPerSecond(), now));
	}

	void recordStarted(TargetEntry engine, ModelParameters model, Instant now) {
		this.loads.put(engine.name(), new Load(model, engine.startMillis(), now));
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
	 * Returns the model that the host of an engine is loading.
	 * @param engine the engine
	 * @return the name of the model; empty if none is being loaded
	 */
	Optional<String> loadingModel(TargetEntry engine) {
		return Optional.ofNullable(this.loads.get(engine.name())).map((load) -> load.model().name());
	}

	/**
	 * Removes the loads that the directory lists as finished, and those that were lost.
	 * @param engines all engines of the service
	 * @param now the current time
	 */
	void removeFinished(List<TargetEntry> engines, Instant now) {
		Map<TargetName, TargetEntry> present = new HashMap<>();
		engines.forEach((engine) -> present.put(engine.name(), engine));
		this.loads.entrySet().removeIf((each) -> hasEnded(present.get(each.getKey()), each.getValue(), now));
	}

	private static boolean hasEnded(TargetEntry engine, Load load, Instant now) {
		return engine == null || engine.startMillis() != load.startMillis()
				|| engine.staged().contains(load.model().name())
				|| now.isAfter(load.since().plus(load.model().coldLoadTime().multipliedBy(LOAD_TIMEOUT_FACTOR)));
	}

	/**
	 * A running load.
	 *
	 * @param model the model
	 * @param startMillis the start time of the engine's process in milliseconds, which
	 * identifies its incarnation
	 * @param since when its command was sent
	 */
	private record Load(ModelParameters model, long startMillis, Instant since) {
	}

}
