package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.PromptSize;

/**
 * Chooses the target whose first answer is expected soonest.
 */
final class Placement {

	/**
	 * What a target in another data centre must be ahead by: the way there and back
	 * twice, for a new connection and for the request, and the cost of bytes between
	 * them.
	 */
	private static final double REMOTE_DATA_CENTRE_PENALTY_MILLIS = 30;

	/** What a target that fails every request would be behind by. */
	private static final double FAILURE_PENALTY_MILLIS = 2000;

	/** Spread of the random part that keeps nodes from choosing alike. */
	private static final double JITTER_MILLIS = 8;

	/**
	 * How steeply the expected wait grows as a target fills: what is known of its load is
	 * old, so that a target with one free slot often has none.
	 */
	private static final int LOAD_EXPONENT = 6;

	/**
	 * Time to a first event that the engines' figures don't explain. First events that
	 * are seen take its place where they take longer.
	 */
	private static final double FIRST_EVENT_OVERHEAD_MILLIS = 110;

	/** Time in the target when nothing is known of it yet. */
	private static final double DEFAULT_ANSWER_MILLIS = 30;

	/**
	 * Nodes that may all compare all targets. More of them see the same target free in
	 * reports some hundred milliseconds old, and all send there.
	 */
	private static final int MAXIMUM_NODES_COMPARING_ALL = 12;

	/**
	 * Targets of the own data centre that one of many nodes compares, drawn anew for each
	 * request: each node finds a target with a free slot, and few nodes the same one.
	 */
	private static final int LOCAL_SAMPLE_SIZE = 4;

	/** The same of other data centres, so that a full data centre spills over. */
	private static final int REMOTE_SAMPLE_SIZE = 1;

	private final DataCentreName localDataCentre;

	private final RandomGenerator random;

	private int nodeCount = 1;

	private Placement(DataCentreName localDataCentre, RandomGenerator random) {
		this.localDataCentre = localDataCentre;
		this.random = random;
	}

	static Placement of(DataCentreName localDataCentre, RandomGenerator random) {
		return new Placement(localDataCentre, random);
	}

	/**
	 * Notes how many nodes place requests.
	 * @param liveNodes the nodes that live
	 */
	void setNodeCount(int liveNodes) {
		this.nodeCount = liveNodes;
	}

	/**
	 * Draws the targets that are compared for one request.
	 * @param candidates all targets
	 * @return some of them, or all where few nodes place requests
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
	 * Chooses among targets.
	 * @param candidates the targets
	 * @param excluded targets that have failed this request
	 * @param statuses what is known of targets
	 * @param size the request's size
	 * @param now the present time
	 * @return the target expected to answer first; empty if none may be given work
	 */
	Optional<Choice> choose(List<Candidate> candidates, Set<TargetName> excluded,
			Map<TargetName, TargetStatus> statuses, Optional<PromptSize> size, Instant now) {
		Choice best = null;
		double lowestScore = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			TargetStatus status = statuses.get(candidate.entry().name());
			if (excluded.contains(candidate.entry().name()) || (status != null && status.isEjected(now))) {
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

	private double penaltyMillis(Candidate candidate, TargetStatus status) {
		double penalty = this.random.nextDouble() * JITTER_MILLIS;
		if (!candidate.entry().dataCentre().equals(this.localDataCentre)) {
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
		double millisPerFreeSlot = slotHoldMillis(candidate, status) / candidate.slots();
		int requests = status.requests(now);
		int excess = requests + 1 - candidate.slots();
		double queued = (excess > 0) ? excess : 0;
		return millisPerFreeSlot
				* (queued + Math.pow(Math.min(1, (double) requests / candidate.slots()), LOAD_EXPONENT));
	}

	// Time that a request holds its slot.
	private static double slotHoldMillis(Candidate candidate, TargetStatus status) {
		if (candidate.engines().isEmpty()) {
			return (status.firstAnswerMillis() > 0) ? status.firstAnswerMillis() : DEFAULT_ANSWER_MILLIS;
		}
		EngineFigures engines = candidate.engines().get();
		return engines.usualAnswer() * stepMillis(engines, candidate.model().orElseThrow(), candidate.slots());
	}

	private static double timeToFirstAnswerMillis(Candidate candidate, TargetStatus status, Optional<PromptSize> size,
			Instant now) {
		if (candidate.engines().isEmpty()) {
			return (status != null && status.firstAnswerMillis() > 0) ? status.firstAnswerMillis()
					: DEFAULT_ANSWER_MILLIS;
		}
		EngineFigures engines = candidate.engines().get();
		ModelFigures model = candidate.model().orElseThrow();
		int runningRequests = (status != null) ? Math.min(status.requests(now), candidate.slots()) : 0;
		double prefill = prefillTime(engines, model, size).toNanos() / 1e6;
		double prefillLeft = (status != null) ? status.prefillLeft(now).toNanos() / 1e6 : 0;
		double predicted = FIRST_EVENT_OVERHEAD_MILLIS * model.pace() + prefillLeft + prefill
				+ engines.stride() * stepMillis(engines, model, runningRequests);
		// An engine that is slower than its figures shows in the time of its first
		// events.
		double observed = (status != null) ? status.firstAnswerMillis() : 0;
		return Math.max(predicted, observed + prefillLeft);
	}

	/**
	 * Time that a target needs to read a prompt.
	 * @param engines what the engines do
	 * @param model the model
	 * @param size the request's size
	 * @return the time
	 */
	static Duration prefillTime(EngineFigures engines, ModelFigures model, Optional<PromptSize> size) {
		double tokens = size.map(PromptSize::promptTokens).orElse(engines.usualPrompt());
		return ofMillis(tokens / engines.readTokensPerSecond() * 1000 * model.pace());
	}

	/**
	 * Whether so few nodes place requests that each tells the others of every request.
	 * @return true for few nodes
	 */
	boolean hasFewNodes() {
		return this.nodeCount <= MAXIMUM_NODES_COMPARING_ALL;
	}

	private static double stepMillis(EngineFigures engines, ModelFigures model, int runningRequests) {
		return engines.step(runningRequests, model).toNanos() / 1e6;
	}

	private static Duration ofMillis(double millis) {
		return Duration.ofNanos((long) (millis * 1e6));
	}

	/**
	 * A target and when its first answer is expected.
	 *
	 * @param candidate the target
	 * @param queueingTime time in the target's queue before the request runs
	 * @param timeToFirstAnswer time to the first answer
	 */
	record Choice(Candidate candidate, Duration queueingTime, Duration timeToFirstAnswer) {
	}

}
