package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.logic.directory.GroupView;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;

/**
 * Tracks how many requests the groups of each model have. The number is smoothed over
 * time. It falls slowly, because the requests for a model that lost groups are refused
 * and can't be counted, although its callers still need it.
 */
final class ModelDemand {

	/** Time constant of the smoothing while the number of requests rises. */
	private static final Duration RISE_TIME = Duration.ofSeconds(2);

	/** Time constant of the smoothing while it falls. */
	private static final Duration FALL_TIME = Duration.ofSeconds(20);

	private final Map<String, Double> requests = new HashMap<>();

	private final Map<String, Integer> servingGroups = new HashMap<>();

	private Instant observedSince = Instant.MAX;

	private Instant updatedAt = Instant.MIN;

	private ModelDemand() {
	}

	static ModelDemand create() {
		return new ModelDemand();
	}

	/** Forgets all observations, which another node continued in the meantime. */
	void clear() {
		this.requests.clear();
		this.observedSince = Instant.MAX;
	}

	void update(EngineParameters parameters, List<GroupView> groups, GroupActivity activity, Instant now) {
		Map<String, Integer> current = new HashMap<>();
		this.servingGroups.clear();
		groups.stream().filter(GroupView::serving).forEach((group) -> {
			current.merge(group.model().name(), activity.requests(group.head().name(), now), Integer::sum);
			this.servingGroups.merge(group.model().name(), 1, Integer::sum);
		});
		boolean anyRequests = current.values().stream().anyMatch((count) -> count > 0);
		if (this.observedSince.equals(Instant.MAX) && !anyRequests) {
			return;
		}
		boolean first = this.observedSince.equals(Instant.MAX);
		this.observedSince = first ? now : this.observedSince;
		for (ModelParameters model : parameters.models()) {
			double sample = current.getOrDefault(model.name(), 0);
			double previous = requests(model);
			this.requests.put(model.name(), first ? sample : smooth(previous, sample, now));
		}
		this.updatedAt = now;
	}

	private double smooth(double previous, double sample, Instant now) {
		Duration timeConstant = (sample > previous) ? RISE_TIME : FALL_TIME;
		double elapsed = Duration.between(this.updatedAt, now).toNanos();
		return sample + (previous - sample) * Math.exp(-elapsed / timeConstant.toNanos());
	}

	/**
	 * Returns the smoothed number of requests that the groups of a model have.
	 * @param model the model
	 * @return the number of requests, 0 before the first request
	 */
	double requests(ModelParameters model) {
		return this.requests.getOrDefault(model.name(), 0.0);
	}

	/**
	 * Returns the share of a model's slots that its requests need.
	 * @param model the model
	 * @param slots the slots of each group
	 * @return the share; above 1 if the requests need more slots than there are
	 */
	double use(ModelParameters model, int slots) {
		return requests(model) / (slots * Math.max(1, this.servingGroups.getOrDefault(model.name(), 0)));
	}

	/**
	 * Returns whether requests have been observed for some time.
	 * @param time the minimum time
	 * @param now the current time
	 * @return true if the first observation is at least that old
	 */
	boolean isObservedFor(Duration time, Instant now) {
		return !this.observedSince.equals(Instant.MAX) && !now.isBefore(this.observedSince.plus(time));
	}

}
