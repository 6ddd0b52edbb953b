package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;

/**
 * How many groups of each model there should be: by the shares that the configuration
 * expects until requests come, then by the requests that are seen. The other engines stay
 * free as spares with weights ready: a group that lost a member serves again in 2 s with
 * a spare, and in 15 s or more without.
 */
final class GroupTargets {

	/**
	 * Part of the engines that serve before any load is known. With 60 engines that
	 * leaves two spares in each domain of 10, one for each model.
	 */
	private static final double SERVING_PART = 0.8;

	/**
	 * Part of the slots that is used when there are as many groups as wanted. Above it
	 * requests begin to queue in single groups: at 0.75 the slowest tenth of first events
	 * took 500 to 700 ms instead of 250.
	 */
	private static final double USE = 0.55;

	/**
	 * The same where weights would have to be loaded: the weight store takes 7 loads of
	 * 12 to 16 s at a time, which spares need as well.
	 */
	private static final double USE_BEFORE_LOADING = 0.7;

	/** Weight of one second's sight of the load; a burst of 3 s must show. */
	private static final double SMOOTHING = 0.4;

	private static final Duration LOOK = Duration.ofMillis(500);

	/** Fewest groups of a model: one may be lost at any time. */
	private static final int FEWEST = 2;

	/**
	 * The same where weights would have to be loaded: loads take 12 to 16 s, so that a
	 * burst of 3 s is over before they are of use.
	 */
	private static final double SLOW_SMOOTHING = 0.15;

	private final Map<String, Double> requests = new HashMap<>();

	private final Map<String, Double> lasting = new HashMap<>();

	private final Map<String, Instant> looked = new HashMap<>();

	private GroupTargets() {
	}

	static GroupTargets create() {
		return new GroupTargets();
	}

	/**
	 * Notes the load.
	 * @param model the model
	 * @param present requests of the model at present
	 * @param now the present time
	 */
	void look(ModelFigures model, int present, Instant now) {
		Instant last = this.looked.get(model.name());
		if (last != null && now.isBefore(last.plus(LOOK))) {
			return;
		}
		this.looked.put(model.name(), now);
		this.requests.merge(model.name(), (double) present, (before, latest) -> before + SMOOTHING * (latest - before));
		this.lasting.merge(model.name(), (double) present,
				(before, latest) -> before + SLOW_SMOOTHING * (latest - before));
	}

	/**
	 * Decides.
	 * @param model the model
	 * @param figures what the engines do
	 * @param engines number of engines that there are
	 * @param traffic whether requests have come long enough to go by them
	 * @param loading whether weights would have to be loaded
	 * @return the number of groups wanted
	 */
	int wanted(ModelFigures model, EngineFigures figures, int engines, boolean traffic, boolean loading) {
		if (!traffic) {
			return expected(model, figures, engines);
		}
		double load = this.requests.getOrDefault(model.name(), 0.0);
		if (loading) {
			double lastingLoad = Math.min(load, this.lasting.getOrDefault(model.name(), 0.0));
			return Math.max(FEWEST, (int) Math.ceil(lastingLoad / (USE_BEFORE_LOADING * figures.slots())));
		}
		return Math.max(FEWEST, (int) Math.ceil(load / (USE * figures.slots())));
	}

	private static int expected(ModelFigures model, EngineFigures figures, int engines) {
		double shares = figures.models().stream().mapToDouble(ModelFigures::share).sum();
		double part = (shares > 0) ? model.share() / shares : 1.0 / figures.models().size();
		return (int) Math.max(FEWEST, Math.round(engines * SERVING_PART * part / model.size()));
	}

}
