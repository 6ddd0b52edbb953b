package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.serving.EngineLoad;

/**
 * What this node knows of the load and the soundness of one target.
 */
final class TargetStatus {

	/**
	 * After this time a told load says nothing any more: about the length of an answer.
	 */
	private static final Duration REPORTED_LOAD_VALIDITY = Duration.ofMillis(1500);

	/** Weight of a new sample in a moving average. */
	private static final double SMOOTHING_FACTOR = 0.2;

	/**
	 * Part of the slots up to which nothing waits, though other nodes' requests are known
	 * late.
	 */
	private static final double MAXIMUM_LOAD_WITHOUT_QUEUE = 0.75;

	/** First time that a target is put aside after a failure; it doubles with each. */
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

	private int consecutiveFailures;

	private double failureRate;

	private double firstAnswerMillis;

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
	 * Requests that the target runs or keeps waiting: this node's own, or what it told
	 * last and what was sent since, whichever is more.
	 * @param now the present time
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

	/**
	 * Notes the requests that another node has with the target.
	 * @param node the node
	 * @param requests number of its requests
	 * @param validUntil when that is out of date
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
	 * Notes a request that another node has just given to the target; its next message
	 * about all its requests counts it too.
	 * @param node the node
	 * @param validUntil when that is out of date
	 */
	void addPeerRequest(String node, Instant validUntil) {
		this.peerRequests.merge(node, new PeerRequests(1, validUntil),
				(previous, added) -> new PeerRequests(previous.requests() + 1, validUntil));
	}

	/**
	 * Notes a prompt that the target has to read, whoever sent it.
	 * @param time time that it takes
	 * @param now the present time
	 */
	void addPrefill(Duration time, Instant now) {
		Instant begin = this.prefillUntil.isAfter(now) ? this.prefillUntil : now;
		this.prefillUntil = begin.plus(time);
	}

	/**
	 * Time that the target needs to read the prompts that it has.
	 * @param now the present time
	 * @return the time
	 */
	Duration prefillLeft(Instant now) {
		return this.prefillUntil.isAfter(now) ? Duration.between(now, this.prefillUntil) : Duration.ZERO;
	}

	/**
	 * Notes the time to a first answer. Only answers of a target with free slots tell how
	 * fast it is: those of a full one tell of its queue, which is counted apart.
	 * @param time the time
	 * @param now the present time
	 */
	void recordFirstAnswer(Duration time, Instant now) {
		this.consecutiveFailures = 0;
		this.failureRate *= 1 - SMOOTHING_FACTOR;
		if (requests(now) > MAXIMUM_LOAD_WITHOUT_QUEUE * this.slots) {
			return;
		}
		double millis = time.toNanos() / 1e6;
		this.firstAnswerMillis = (this.firstAnswerMillis == 0) ? millis
				: this.firstAnswerMillis + SMOOTHING_FACTOR * (millis - this.firstAnswerMillis);
	}

	void recordFailure(Instant now) {
		this.failureRate += SMOOTHING_FACTOR * (1 - this.failureRate);
		eject(now,
				BASE_EJECTION_TIME.multipliedBy(1L << Math.min(this.consecutiveFailures, MAXIMUM_EJECTION_DOUBLINGS)));
		this.consecutiveFailures++;
	}

	void eject(Instant now, Duration time) {
		Instant until = now.plus(time);
		if (until.isAfter(this.ejectedUntil)) {
			this.ejectedUntil = until;
		}
	}

	boolean isEjected(Instant now) {
		return now.isBefore(this.ejectedUntil);
	}

	double failureRate() {
		return this.failureRate;
	}

	double firstAnswerMillis() {
		return this.firstAnswerMillis;
	}

	int inFlight() {
		return this.inFlight;
	}

	/**
	 * What another node told of its requests.
	 *
	 * @param requests their number
	 * @param validUntil when that is out of date
	 */
	private record PeerRequests(int requests, Instant validUntil) {
	}

}
