package sycamorehill.logic.layout;

import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;

/**
 * Derives the desired number of groups of each model from the share of the engines that
 * the configuration expects the model to need. The other engines stay free as spares that
 * hold weights. A group that lost a member serves again as soon as a spare has joined;
 * without a spare, the weights have to be loaded from the weight store first.
 */
final class ShareBasedGroupCounts implements LayoutPlan.DesiredGroupCounts {

	/**
	 * Share of the engines that serve. The rest leaves each fabric domain one spare for
	 * each of two models.
	 */
	private static final double SERVING_SHARE = 0.8;

	/** Minimum number of groups of a model, since any one of them may be lost. */
	private static final int MINIMUM_GROUPS = 2;

	private final EngineParameters parameters;

	private final int engineCount;

	private ShareBasedGroupCounts(EngineParameters parameters, int engineCount) {
		this.parameters = parameters;
		this.engineCount = engineCount;
	}

	/**
	 * Creates the group counts for a number of engines.
	 * @param parameters the parameters of the engines
	 * @param engineCount the number of engines
	 * @return the group counts
	 */
	static ShareBasedGroupCounts of(EngineParameters parameters, int engineCount) {
		return new ShareBasedGroupCounts(parameters, engineCount);
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
		double totalShare = this.parameters.models().stream().mapToDouble(ModelParameters::expectedLoadShare).sum();
		double share = (totalShare > 0) ? model.expectedLoadShare() / totalShare
				: 1.0 / this.parameters.models().size();
		return this.engineCount * share / model.groupSize();
	}

}
