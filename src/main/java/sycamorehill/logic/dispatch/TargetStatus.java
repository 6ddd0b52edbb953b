package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.serving.EngineLoad;

/**
 * Tracks the load and the health of one target, as far as this node knows them.
 */
final class TargetStatus {

	/** How long a reported load is valid: about the duration of an answer. */
	private static final Duration REPORTED_LOAD_VALIDITY = Duration.ofMillis(1500);

	/** Weight of a new sample in an exponential moving average. */
	private static final double SMOOTHING_FACTOR = 0.2;

	/** How long an observed answer time is taken as it is. */
	private static final Duration ANSWER_TIME_VALIDITY = Duration.ofSeconds(3);

	/**
	 * Time in which the excess of an older one halves. Only answers renew it, and a
	 * target that is thought slow gets no requests.
	 */
	private static final Duration ANSWER_TIME_HALF_LIFE = Duration.ofSeconds(1);

	/**
	 * Share of the slots up to which no request queues, even though the requests of other
	 * nodes become known late.
	 */
	private static final double MAXIMUM_LOAD_WITHOUT_QUEUE = 0.75;

	/** Ejection time after a first failure. It doubles with each consecutive failure. */
	private static final Duration BASE_EJECTION_TIME = Duration.ofMillis(250);

	private static final int MAXIMUM_EJECTION_DOUBLINGS = 4;

	private int inFlight;

	private int slots;

	private EngineLoad reportedLoad = new EngineLoad(0, 0, 0);

	private Instant reportedAt = Instant.MIN;

	private int sentSinceReport;

	private final Map<String, PeerRequests> peerRequests = new HashMap<>();

	private Instant prefillUntil = Instant.MIN;

	private Instant ejectedUntil = Instant.MIN;

	/** Until when the target receives no requests because it is silent. */
	private Instant silentUntil = Instant.MIN;

	private Instant restUntil = Instant.MIN;

	/**
	 * End of the last rest or ejection. The short ejections of full targets don't count.
	 */
	private Instant awayUntil = Instant.MIN;

	/** Until when the target counts as stalled, having sent nothing for a short time. */
	private Instant stalledUntil = Instant.MIN;

	private int consecutiveFailures;

	private double failureRate;

	private double firstAnswerMillis;

	private Instant firstAnswerAt = Instant.MIN;

	void recordSent(int targetSlots) {
		this.slots = targetSlots;
		this.inFlight++;
		this.sentSinceReport++;
	}

	void recordEnded() {
		this.inFlight--;
	}

	void recordReport(EngineLoad load, Instant now) {
		this.reportedLoad = load;
		this.reportedAt = now;
		this.sentSinceReport = 0;
	}

	/**
	 * Returns the number of requests that the target runs or queues. This is the larger
	 * of two counts: the known requests of all nodes, and the last reported load plus the
	 * requests that this node has sent since.
	 * @param now the current time
	 * @return the number of requests
	 */
	int requests(Instant now) {
		int requests = this.inFlight;
		for (PeerRequests peer : this.peerRequests.values()) {
			requests += peer.validUntil().isBefore(now) ? 0 : peer.requests();
		}
		if (this.reportedAt == Instant.MIN || this.reportedAt.plus(REPORTED_LOAD_VALIDITY).isBefore(now)) {
			return requests;
		}
		return Math.max(requests, this.reportedLoad.running() + this.reportedLoad.waiting() + this.sentSinceReport);
	}

	boolean mayQueue(Instant now) {
		return requests(now) > MAXIMUM_LOAD_WITHOUT_QUEUE * this.slots;
	}

	/**
	 * Sets the number of requests that another node has with the target.
	 * @param node the other node
	 * @param requests number of its requests
	 * @param validUntil when the number expires
	 */
	void setPeerRequests(String node, int requests, Instant validUntil) {
		if (requests == 0) {
			this.peerRequests.remove(node);
		}
		else {
			this.peerRequests.put(node, new PeerRequests(requests, validUntil));
		}
	}

	/**
	 * Adds a request that another node has just sent to the target. That node's next load
	 * report includes it.
	 * @param node the other node
	 * @param validUntil when the number expires
	 */
	void addPeerRequest(String node, Instant validUntil) {
		this.peerRequests.merge(node, new PeerRequests(1, validUntil),
				(previous, added) -> new PeerRequests(previous.requests() + 1, validUntil));
	}

	/**
	 * Adds a prompt that the target has to prefill, whichever node sent it.
	 * @param time expected prefill time of the prompt
	 * @param now the current time
	 */
	void addPrefill(Duration time, Instant now) {
		Instant begin = this.prefillUntil.isAfter(now) ? this.prefillUntil : now;
		this.prefillUntil = begin.plus(time);
	}

	/**
	 * Returns the time that the target needs to finish the prefill of its prompts.
	 * @param now the current time
	 * @return the time
	 */
	Duration prefillLeft(Instant now) {
		return this.prefillUntil.isAfter(now) ? Duration.between(now, this.prefillUntil) : Duration.ZERO;
	}

	/**
	 * Records the time to a first answer. Only the answers of a target with free slots
	 * show how fast it is: those of a full target include the time in its queue, which is
	 * predicted separately.
	 * @param time the time to the first answer
	 * @param now the current time
	 */
	void recordFirstAnswer(Duration time, Instant now) {
		this.consecutiveFailures = 0;
		this.failureRate *= 1 - SMOOTHING_FACTOR;
		if (mayQueue(now)) {
			return;
		}
		double millis = time.toNanos() / 1e6;
		double earlierMillis = firstAnswerMillis(millis, now);
		this.firstAnswerMillis = earlierMillis + SMOOTHING_FACTOR * (millis - earlierMillis);
		this.firstAnswerAt = now;
	}

	void recordFailure(Instant now) {
		this.failureRate += SMOOTHING_FACTOR * (1 - this.failureRate);
		eject(now,
				BASE_EJECTION_TIME.multipliedBy(1L << Math.min(this.consecutiveFailures, MAXIMUM_EJECTION_DOUBLINGS)));
		this.consecutiveFailures++;
	}

	void eject(Instant now, Duration time) {
		this.ejectedUntil = later(this.ejectedUntil, now.plus(time));
		if (time.compareTo(BASE_EJECTION_TIME) >= 0) {
			this.awayUntil = later(this.awayUntil, this.ejectedUntil);
		}
	}

	/**
	 * Stops requests of this node because the target sends nothing.
	 * @param now the current time
	 * @param time how long it receives no requests unless it sends something
	 */
	void ejectSilent(Instant now, Duration time) {
		this.silentUntil = later(this.silentUntil, now.plus(time));
		this.awayUntil = later(this.awayUntil, this.silentUntil);
	}

	/**
	 * Ends the ejection of a target that was silent.
	 * @param now the current time
	 */
	void endSilence(Instant now) {
		if (this.awayUntil.equals(this.silentUntil) && now.isBefore(this.silentUntil)) {
			this.awayUntil = now;
		}
		this.silentUntil = Instant.MIN;
		this.stalledUntil = Instant.MIN;
	}

	/**
	 * Ends an ejection and forgets the failures that led to it, because they were those
	 * of the path and not of the target.
	 */
	void endEjection() {
		this.ejectedUntil = Instant.MIN;
		this.silentUntil = Instant.MIN;
		this.awayUntil = this.restUntil;
		this.consecutiveFailures = 0;
		this.failureRate = 0;
	}

	/**
	 * Forgets how often the target failed, because its slow start limits its requests.
	 * With the penalty for earlier failures it would receive none that could succeed.
	 */
	void clearFailureRate() {
		this.failureRate = 0;
	}

	private static Instant later(Instant one, Instant other) {
		return one.isAfter(other) ? one : other;
	}

	/**
	 * Stops requests of this node for as long as the target has asked for. Unlike an
	 * ejection, it is the target's own word.
	 * @param now the current time
	 * @param time how long the target wants no requests
	 */
	void rest(Instant now, Duration time) {
		this.restUntil = later(this.restUntil, now.plus(time));
		this.awayUntil = later(this.awayUntil, this.restUntil);
	}

	void endRest() {
		this.restUntil = Instant.MIN;
	}

	/**
	 * Returns how long the target still wants no requests of this node.
	 * @param now the current time
	 * @return the time; zero if it accepts requests
	 */
	Duration restLeft(Instant now) {
		return now.isBefore(this.restUntil) ? Duration.between(now, this.restUntil) : Duration.ZERO;
	}

	/**
	 * Returns how long this node still sends the target no requests because of failures.
	 * @param now the current time
	 * @return the time; zero if it is not ejected
	 */
	Duration ejectionLeft(Instant now) {
		Instant until = later(this.ejectedUntil, this.silentUntil);
		return now.isBefore(until) ? Duration.between(now, until) : Duration.ZERO;
	}

	/**
	 * Returns the age of the target's own last report of its load.
	 * @param now the current time
	 * @return the age; empty if there was no report
	 */
	Optional<Duration> reportAge(Instant now) {
		return (this.reportedAt == Instant.MIN) ? Optional.empty()
				: Optional.of(Duration.between(this.reportedAt, now));
	}

	/**
	 * Returns until when the target last received no requests of this node.
	 * @return the time, possibly in the future
	 */
	Instant awayUntil() {
		return this.awayUntil;
	}

	/**
	 * Returns whether this node may send requests to the target.
	 * @param now the current time
	 * @return false while it is ejected or rests
	 */
	boolean acceptsRequests(Instant now) {
		return ejectionLeft(now).isZero() && !now.isBefore(this.restUntil);
	}

	void markStalled(Instant until) {
		this.stalledUntil = until;
	}

	boolean isStalled(Instant now) {
		return now.isBefore(this.stalledUntil);
	}

	double failureRate() {
		return this.failureRate;
	}

	/**
	 * Returns the time to a first answer that is to be expected by earlier ones. A longer
	 * time than the assumed one approaches it while no answer renews it.
	 * @param assumedMillis time in milliseconds that is assumed without observations
	 * @param now the current time
	 * @return the time in milliseconds
	 */
	double firstAnswerMillis(double assumedMillis, Instant now) {
		if (this.firstAnswerMillis == 0) {
			return assumedMillis;
		}
		double excess = this.firstAnswerMillis - assumedMillis;
		return (excess <= 0) ? this.firstAnswerMillis : assumedMillis + excess * Math.pow(0.5, halvings(now));
	}

	private double halvings(Instant now) {
		Duration overdue = Duration.between(this.firstAnswerAt.plus(ANSWER_TIME_VALIDITY), now);
		return overdue.isNegative() ? 0 : (double) overdue.toNanos() / ANSWER_TIME_HALF_LIFE.toNanos();
	}

	int inFlight() {
		return this.inFlight;
	}

	/**
	 * The number of requests that another node has with the target.
	 *
	 * @param requests the number of requests
	 * @param validUntil when the number expires
	 */
	private record PeerRequests(int requests, Instant validUntil) {
	}

}
