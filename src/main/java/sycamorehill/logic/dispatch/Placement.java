package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TokenCounts;

/**
 * Chooses the target with the shortest expected time to the first answer.
 */
final class Placement {

	/**
	 * Penalty for a target in another data centre: two round trips, for a new connection
	 * and for the request, and the cost of the traffic between data centres.
	 */
	private static final double REMOTE_DATA_CENTRE_PENALTY_MILLIS = 30;

	/**
	 * Preference for a cold target if there are many nodes: about as much as the random
	 * part of the score, so that targets that are equal otherwise come after it.
	 */
	private static final double COLD_TARGET_PREFERENCE_MILLIS = 8;

	/**
	 * Penalty for a target that fails every request; a lower failure rate counts in
	 * proportion.
	 */
	private static final double FAILURE_PENALTY_MILLIS = 2000;

	/**
	 * Upper bound of the random part of a score, which keeps nodes from all choosing the
	 * same target.
	 */
	private static final double JITTER_MILLIS = 8;

	/**
	 * Exponent of the utilisation in the expected queueing time. Known loads are out of
	 * date, so a target that seems to have one free slot often has none.
	 */
	private static final int LOAD_EXPONENT = 6;

	/**
	 * Time to the first event that the engines' parameters do not cover. Observed times
	 * take precedence over the prediction where they are longer.
	 */
	private static final double FIRST_EVENT_OVERHEAD_MILLIS = 110;

	/** Answer time that is assumed for a target without observations. */
	private static final double DEFAULT_ANSWER_MILLIS = 30;

	/**
	 * Maximum number of nodes at which each node compares all targets. More nodes would
	 * see the same target free in load reports some hundred milliseconds old, and all
	 * choose it.
	 */
	private static final int MAXIMUM_NODES_COMPARING_ALL = 12;

	/**
	 * Number of targets in the local data centre that a node compares if there are many
	 * nodes. The sample is drawn for each request: each node finds a target with a free
	 * slot, and few nodes find the same one.
	 */
	private static final int LOCAL_SAMPLE_SIZE = 4;

	/**
	 * Number of targets in other data centres that such a node compares as well, so that
	 * requests spill over when the local data centre is full.
	 */
	private static final int REMOTE_SAMPLE_SIZE = 1;

	/** Number of cold targets and targets in slow start that such a node adds. */
	private static final int LIMITED_SAMPLE_SIZE = 2;

	private final DataCentreName localDataCentre;

	private final RandomGenerator random;

	private int nodeCount = 1;

	private Predicate<TargetName> coldTargets = (target) -> false;

	private Placement(DataCentreName localDataCentre, RandomGenerator random) {
		this.localDataCentre = localDataCentre;
		this.random = random;
	}

	static Placement of(DataCentreName localDataCentre, RandomGenerator random) {
		return new Placement(localDataCentre, random);
	}

	/**
	 * Returns a copy with another source of random numbers.
	 * @param otherRandom the source of the random numbers
	 * @return the copy
	 */
	Placement withRandom(RandomGenerator otherRandom) {
		Placement copy = of(this.localDataCentre, otherRandom);
		copy.setNodeCount(this.nodeCount);
		copy.setColdTargets(this.coldTargets);
		return copy;
	}

	/**
	 * Sets the number of nodes that place requests.
	 * @param liveNodes number of live nodes
	 */
	void setNodeCount(int liveNodes) {
		this.nodeCount = liveNodes;
	}

	/**
	 * Sets which targets are cold. Few nodes may use them: these are in all data centres,
	 * so no penalty for other data centres applies, and they prefer the cold targets.
	 * @param cold tells whether a target is cold
	 */
	void setColdTargets(Predicate<TargetName> cold) {
		this.coldTargets = cold;
	}

	/**
	 * Draws the targets that are compared for one request.
	 * @param candidates all targets
	 * @return a random sample, or all targets if few nodes place requests
	 */
	List<Candidate> sample(List<Candidate> candidates) {
		if (hasFewNodes()) {
			return candidates;
		}
		List<Candidate> sampled = new ArrayList<>();
		sampled.addAll(sample(candidates, true, LOCAL_SAMPLE_SIZE));
		sampled.addAll(sample(candidates, false, REMOTE_SAMPLE_SIZE));
		return sampled;
	}

	/**
	 * Draws the targets that are compared for one request, and adds some that few nodes
	 * may use now: those nodes would rarely draw them.
	 * @param candidates all targets
	 * @param limited the targets among them that few nodes may use
	 * @return a random sample, or all targets if few nodes place requests
	 */
	List<Candidate> sample(List<Candidate> candidates, List<Candidate> limited) {
		List<Candidate> sampled = sample(candidates);
		if (hasFewNodes() || limited.isEmpty()) {
			return sampled;
		}
		int first = this.random.nextInt(limited.size());
		for (int index = 0; index < Math.min(LIMITED_SAMPLE_SIZE, limited.size()); index++) {
			Candidate added = limited.get((first + index) % limited.size());
			if (!sampled.contains(added)) {
				sampled.add(added);
			}
		}
		return sampled;
	}

	private List<Candidate> sample(List<Candidate> candidates, boolean local, int size) {
		List<Candidate> remaining = new ArrayList<>(candidates);
		remaining.removeIf((candidate) -> candidate.entry().dataCentre().equals(this.localDataCentre) != local);
		List<Candidate> sampled = new ArrayList<>();
		while (sampled.size() < size && !remaining.isEmpty()) {
			sampled.add(remaining.remove(this.random.nextInt(remaining.size())));
		}
		return sampled;
	}

	/**
	 * Chooses the target with the lowest score.
	 * @param candidates the targets to compare
	 * @param excluded targets that have been tried for this request
	 * @param statuses the known statuses by target
	 * @param size the sizes of prompt and answer
	 * @param now the current time
	 * @return the best target; empty if none may receive the request
	 */
	Optional<Choice> choose(List<Candidate> candidates, Set<TargetName> excluded,
			Map<TargetName, TargetStatus> statuses, Optional<TokenCounts> size, Instant now) {
		Choice best = null;
		double lowestScore = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			TargetStatus status = statuses.get(candidate.entry().name());
			if (excluded.contains(candidate.entry().name()) || (status != null && !status.acceptsRequests(now))) {
				continue;
			}
			double queueing = queueingMillis(candidate, status, now);
			double timeToFirstAnswer = queueing + timeToFirstAnswerMillis(candidate, status, size, now);
			double score = timeToFirstAnswer + penaltyMillis(candidate, status);
			if (score < lowestScore) {
				lowestScore = score;
				best = new Choice(candidate, ofMillis(queueing), ofMillis(timeToFirstAnswer));
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns the expected time to the first answer of a target.
	 * @param candidate the target
	 * @param status its status; empty if nothing is known of it
	 * @param size the sizes of prompt and answer
	 * @param now the current time
	 * @return the time, including that in its queue
	 */
	static Duration expectedTime(Candidate candidate, Optional<TargetStatus> status, Optional<TokenCounts> size,
			Instant now) {
		return ofMillis(queueingMillis(candidate, status.orElse(null), now)
				+ timeToFirstAnswerMillis(candidate, status.orElse(null), size, now));
	}

	private double penaltyMillis(Candidate candidate, TargetStatus status) {
		double penalty = this.random.nextDouble() * JITTER_MILLIS;
		if (this.coldTargets.test(candidate.entry().name())) {
			penalty -= hasFewNodes() ? 0 : COLD_TARGET_PREFERENCE_MILLIS;
		}
		else if (!candidate.entry().dataCentre().equals(this.localDataCentre)) {
			penalty += REMOTE_DATA_CENTRE_PENALTY_MILLIS;
		}
		if (status != null) {
			penalty += status.failureRate() * FAILURE_PENALTY_MILLIS;
		}
		return penalty;
	}

	private static double queueingMillis(Candidate candidate, TargetStatus status, Instant now) {
		if (status == null) {
			return 0;
		}
		double millisPerFreeSlot = slotHoldMillis(candidate, status, now) / candidate.slots();
		int requests = status.requests(now);
		int excess = requests + 1 - candidate.slots();
		double queued = (excess > 0) ? excess : 0;
		return millisPerFreeSlot
				* (queued + Math.pow(Math.min(1, (double) requests / candidate.slots()), LOAD_EXPONENT));
	}

	// Returns the time that a request occupies a slot.
	private static double slotHoldMillis(Candidate candidate, TargetStatus status, Instant now) {
		if (candidate.engines().isEmpty()) {
			return status.firstAnswerMillis(DEFAULT_ANSWER_MILLIS, now);
		}
		EngineParameters engines = candidate.engines().get();
		return engines.meanAnswerTokens() * stepMillis(engines, candidate.model().orElseThrow(), candidate.slots());
	}

	private static double timeToFirstAnswerMillis(Candidate candidate, TargetStatus status, Optional<TokenCounts> size,
			Instant now) {
		if (candidate.engines().isEmpty()) {
			return (status != null) ? status.firstAnswerMillis(DEFAULT_ANSWER_MILLIS, now) : DEFAULT_ANSWER_MILLIS;
		}
		EngineParameters engines = candidate.engines().get();
		ModelParameters model = candidate.model().orElseThrow();
		int runningRequests = (status != null) ? Math.min(status.requests(now), candidate.slots()) : 0;
		double prefill = prefillTime(engines, model, size).toNanos() / 1e6;
		double prefillLeft = (status != null) ? status.prefillLeft(now).toNanos() / 1e6 : 0;
		double predicted = FIRST_EVENT_OVERHEAD_MILLIS * model.timeFactor() + prefillLeft + prefill
				+ engines.stepsPerEvent() * stepMillis(engines, model, runningRequests);
		// Observed times reveal an engine that is slower than its parameters.
		double observed = (status != null) ? status.firstAnswerMillis(0, now) : 0;
		return Math.max(predicted, observed + prefillLeft);
	}

	/**
	 * Returns the time that a target needs for the prefill of a prompt.
	 * @param engines the parameters of the engines
	 * @param model the model
	 * @param size the sizes of prompt and answer; if empty, a prompt of mean size is
	 * assumed
	 * @return the prefill time
	 */
	static Duration prefillTime(EngineParameters engines, ModelParameters model, Optional<TokenCounts> size) {
		double tokens = size.map(TokenCounts::promptTokens).orElse(engines.meanPromptTokens());
		return ofMillis(tokens / engines.prefillTokensPerSecond() * 1000 * model.timeFactor());
	}

	/**
	 * Returns whether there are few enough nodes for each to broadcast every request that
	 * it places.
	 * @return true for few nodes
	 */
	boolean hasFewNodes() {
		return this.nodeCount <= MAXIMUM_NODES_COMPARING_ALL;
	}

	private static double stepMillis(EngineParameters engines, ModelParameters model, int runningRequests) {
		return engines.stepDuration(runningRequests, model).toNanos() / 1e6;
	}

	private static Duration ofMillis(double millis) {
		return Duration.ofNanos((long) (millis * 1e6));
	}

	/**
	 * A target with its expected times.
	 *
	 * @param candidate the target
	 * @param queueingTime time in the target's queue before the request runs
	 * @param timeToFirstAnswer time to the first answer, including the queueing time
	 */
	record Choice(Candidate candidate, Duration queueingTime, Duration timeToFirstAnswer) {
	}

}
