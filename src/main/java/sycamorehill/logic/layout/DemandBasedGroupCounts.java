package sycamorehill.logic.layout;

import java.util.function.ToDoubleFunction;

import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;

/**
 * Derives the desired number of groups of each model from the requests that its groups
 * have, so that the groups of all models are about equally busy. The share of the engines
 * that the configuration expects a model to need counts like some engines' worth of
 * requests. It decides alone before there are requests and while they are about as
 * expected, and little once there are many. The other engines stay free as spares that
 * hold weights. A group that lost a member serves again as soon as a spare has joined;
 * without a spare, the weights have to be loaded from the weight store first.
 */
final class DemandBasedGroupCounts implements LayoutPlan.DesiredGroupCounts {

	/**
	 * Share of the engines that serve. The rest leaves each fabric domain one spare for
	 * each of two models.
	 */
	private static final double SERVING_SHARE = 0.8;

	/**
	 * Share of the engines that count as busy by the expected shares alone. It is a
	 * reserve for lost groups: of a few large groups, one is often missing.
	 */
	private static final double RESERVED_SHARE = 0.2;

	/**
	 * Difference between the observed and the expected share of a model up to which the
	 * expected one decides: moving engines costs loads, and delays the repair of groups.
	 */
	private static final double ACCEPTED_SHARE_DIFFERENCE = 0.15;

	/**
	 * Use of a model's slots above which it keeps at least the groups that it is expected
	 * to need. When the groups of all models are full, the requests that are refused
	 * can't be counted, and a model with more groups would seem to need more of them.
	 */
	private static final double MAXIMUM_USE_OF_DONOR = 0.5;

	/** Minimum number of groups of a model, since any one of them may be lost. */
	private static final int MINIMUM_GROUPS = 2;

	private final EngineParameters parameters;

	private final ModelDemand demand;

	private final int engineCount;

	private DemandBasedGroupCounts(EngineParameters parameters, ModelDemand demand, int engineCount) {
		this.parameters = parameters;
		this.demand = demand;
		this.engineCount = engineCount;
	}

	/**
	 * Creates the group counts for a number of engines.
	 * @param parameters the parameters of the engines
	 * @param demand the observed requests by model
	 * @param engineCount the number of engines
	 * @return the group counts
	 */
	static DemandBasedGroupCounts of(EngineParameters parameters, ModelDemand demand, int engineCount) {
		return new DemandBasedGroupCounts(parameters, demand, engineCount);
	}

	@Override
	public int desired(ModelParameters model) {
		return (int) Math.max(MINIMUM_GROUPS, Math.round(SERVING_SHARE * groupsUsingAllEngines(model)));
	}

	@Override
	public int maximum(ModelParameters model) {
		return (int) Math.max(MINIMUM_GROUPS, Math.ceil(groupsUsingAllEngines(model)));
	}

	private double groupsUsingAllEngines(ModelParameters model) {
		double share = isAsExpected() ? expectedShare(model) : shareOf(model, this::busyEngines);
		boolean busy = this.demand.use(model, this.parameters.slots()) > MAXIMUM_USE_OF_DONOR;
		return this.engineCount * (busy ? Math.max(share, expectedShare(model)) : share) / model.groupSize();
	}

	private boolean isAsExpected() {
		return this.parameters.models()
			.stream()
			.allMatch((model) -> Math
				.abs(shareOf(model, this::enginesForRequests) - expectedShare(model)) <= ACCEPTED_SHARE_DIFFERENCE);
	}

	// Returns 0 if no model needs engines.
	private double shareOf(ModelParameters model, ToDoubleFunction<ModelParameters> engines) {
		double total = this.parameters.models().stream().mapToDouble(engines).sum();
		return (total > 0) ? engines.applyAsDouble(model) / total : 0;
	}

	private double busyEngines(ModelParameters model) {
		return enginesForRequests(model) + RESERVED_SHARE * this.engineCount * expectedShare(model);
	}

	private double enginesForRequests(ModelParameters model) {
		return this.demand.requests(model) / this.parameters.slots() * model.groupSize();
	}

	private double expectedShare(ModelParameters model) {
		double totalShare = this.parameters.models().stream().mapToDouble(ModelParameters::expectedLoadShare).sum();
		return (totalShare > 0) ? model.expectedLoadShare() / totalShare : 1.0 / this.parameters.models().size();
	}

}
