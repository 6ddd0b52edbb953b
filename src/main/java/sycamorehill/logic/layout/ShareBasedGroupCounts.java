package sycamorehill.logic.layout;

import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;

/**
 * How many groups of each model there should be: by the shares of the engines that the
 * configuration expects. The other engines stay free as spares with weights ready: a
 * group that lost a member serves again as soon as a spare has joined, and without one
 * only after a load from the weight store.
 */
final class ShareBasedGroupCounts implements LayoutPlan.DesiredGroupCounts {

	/**
	 * Part of the engines that serve. The rest leaves each fabric domain a spare for each
	 * of two models.
	 */
	private static final double SERVING_SHARE = 0.8;

	/** Fewest groups of a model: one may be lost at any time. */
	private static final int MINIMUM_GROUPS = 2;

	private final EngineFigures parameters;

	private final int engineCount;

	private ShareBasedGroupCounts(EngineFigures parameters, int engineCount) {
		this.parameters = parameters;
		this.engineCount = engineCount;
	}

	/**
	 * Creates the targets.
	 * @param parameters what the engines do
	 * @param engineCount number of engines that there are
	 * @return the targets
	 */
	static ShareBasedGroupCounts of(EngineFigures parameters, int engineCount) {
		return new ShareBasedGroupCounts(parameters, engineCount);
	}

	@Override
	public int desired(ModelFigures model) {
		return (int) Math.max(MINIMUM_GROUPS, Math.round(SERVING_SHARE * groupsUsingAllEngines(model)));
	}

	@Override
	public int maximum(ModelFigures model) {
		return (int) Math.max(MINIMUM_GROUPS, Math.ceil(groupsUsingAllEngines(model)));
	}

	private double groupsUsingAllEngines(ModelFigures model) {
		double totalShare = this.parameters.models().stream().mapToDouble(ModelFigures::share).sum();
		double share = (totalShare > 0) ? model.share() / totalShare : 1.0 / this.parameters.models().size();
		return this.engineCount * share / model.size();
	}

}
