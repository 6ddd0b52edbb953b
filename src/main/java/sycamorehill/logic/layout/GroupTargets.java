package sycamorehill.logic.layout;

import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;

/**
 * How many groups of each model there should be: by the shares of the engines that the
 * configuration expects. The other engines stay free as spares with weights ready: a
 * group that lost a member serves again as soon as a spare has joined, and without one
 * only after a load from the weight store.
 */
final class GroupTargets implements LayoutPlan.Wanted {

	/**
	 * Part of the engines that serve. The rest leaves each fabric domain a spare for each
	 * of two models.
	 */
	private static final double SERVING_PART = 0.8;

	/** Fewest groups of a model: one may be lost at any time. */
	private static final int FEWEST = 2;

	private final EngineFigures figures;

	private final int engines;

	private GroupTargets(EngineFigures figures, int engines) {
		this.figures = figures;
		this.engines = engines;
	}

	/**
	 * Creates the targets.
	 * @param figures what the engines do
	 * @param engines number of engines that there are
	 * @return the targets
	 */
	static GroupTargets of(EngineFigures figures, int engines) {
		return new GroupTargets(figures, engines);
	}

	@Override
	public int groups(ModelFigures model) {
		return (int) Math.max(FEWEST, Math.round(SERVING_PART * groupsOfAll(model)));
	}

	@Override
	public int atMost(ModelFigures model) {
		return (int) Math.max(FEWEST, Math.ceil(groupsOfAll(model)));
	}

	private double groupsOfAll(ModelFigures model) {
		double shares = this.figures.models().stream().mapToDouble(ModelFigures::share).sum();
		double part = (shares > 0) ? model.share() / shares : 1.0 / this.figures.models().size();
		return this.engines * part / model.size();
	}

}
