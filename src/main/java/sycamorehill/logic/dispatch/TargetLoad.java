package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.serving.EngineLoad;

/**
 * What this node knows of the load and the soundness of one target.
 */
final class TargetLoad {

	/**
	 * After this time a told load says nothing any more: about the length of an answer.
	 */
	private static final Duration TOLD_LOAD_VALID = Duration.ofMillis(1500);

	/** Weight of a new sample in a moving average. */
	private static final double SMOOTHING = 0.2;

	/**
	 * Part of the slots up to which nothing waits, though other nodes' requests are known
	 * late.
	 */
	private static final double FREE_PART = 0.75;

	/** First time that a target is put aside after a failure; it doubles with each. */
	private static final Duration FIRST_ASIDE = Duration.ofMillis(250);

	private static final int MOST_DOUBLINGS = 4;

	private int inFlight;

	private int slots;

	private EngineLoad told = new EngineLoad(0, 0, 0);

	private Instant toldAt = Instant.MIN;

	private int sentSinceTold;

	private final Map<String, OthersShare> others = new HashMap<>();

	private Instant readsUntil = Instant.MIN;

	private Instant asideUntil = Instant.MIN;

	private int failuresInRow;

	private double failureShare;

	private double firstAnswerMillis;

	void sent(int targetSlots) {
		this.slots = targetSlots;
		this.inFlight++;
		this.sentSinceTold++;
	}

	void ended() {
		this.inFlight--;
	}

	void told(EngineLoad load, Instant now) {
		this.told = load;
		this.toldAt = now;
		this.sentSinceTold = 0;
	}

	/**
	 * Requests that the target runs or keeps waiting: this node's own, or what it told
	 * last and what was sent since, whichever is more.
	 * @param now the present time
	 * @return the number of requests
	 */
	int requests(Instant now) {
		int known = this.inFlight;
		for (OthersShare share : this.others.values()) {
			known += share.validUntil().isBefore(now) ? 0 : share.requests();
		}
		if (this.toldAt == Instant.MIN || this.toldAt.plus(TOLD_LOAD_VALID).isBefore(now)) {
			return known;
		}
		return Math.max(known, this.told.running() + this.told.waiting() + this.sentSinceTold);
	}

	/**
	 * Notes the requests that another node has with the target.
	 * @param node the node
	 * @param requests number of its requests
	 * @param validUntil when that is out of date
	 */
	void others(String node, int requests, Instant validUntil) {
		if (requests == 0) {
			this.others.remove(node);
		}
		else {
			this.others.put(node, new OthersShare(requests, validUntil));
		}
	}

	/**
	 * Notes a request that another node has just given to the target; its next message
	 * about all its requests counts it too.
	 * @param node the node
	 * @param validUntil when that is out of date
	 */
	void placedBy(String node, Instant validUntil) {
		this.others.merge(node, new OthersShare(1, validUntil),
				(before, one) -> new OthersShare(before.requests() + 1, validUntil));
	}

	/**
	 * Notes a prompt that the target has to read, whoever sent it.
	 * @param time time that it takes
	 * @param now the present time
	 */
	void reads(Duration time, Instant now) {
		Instant begin = this.readsUntil.isAfter(now) ? this.readsUntil : now;
		this.readsUntil = begin.plus(time);
	}

	/**
	 * Time that the target needs to read the prompts that it has.
	 * @param now the present time
	 * @return the time
	 */
	Duration unread(Instant now) {
		return this.readsUntil.isAfter(now) ? Duration.between(now, this.readsUntil) : Duration.ZERO;
	}

	/**
	 * Notes the time to a first answer. Only answers of a target with free slots tell how
	 * fast it is: those of a full one tell of its queue, which is counted apart.
	 * @param time the time
	 * @param now the present time
	 */
	void answered(Duration time, Instant now) {
		this.failuresInRow = 0;
		this.failureShare *= 1 - SMOOTHING;
		if (requests(now) > FREE_PART * this.slots) {
			return;
		}
		double millis = time.toNanos() / 1e6;
		this.firstAnswerMillis = (this.firstAnswerMillis == 0) ? millis
				: this.firstAnswerMillis + SMOOTHING * (millis - this.firstAnswerMillis);
	}

	void failed(Instant now) {
		this.failureShare += SMOOTHING * (1 - this.failureShare);
		aside(now, FIRST_ASIDE.multipliedBy(1L << Math.min(this.failuresInRow, MOST_DOUBLINGS)));
		this.failuresInRow++;
	}

	void aside(Instant now, Duration time) {
		Instant until = now.plus(time);
		if (until.isAfter(this.asideUntil)) {
			this.asideUntil = until;
		}
	}

	boolean isAside(Instant now) {
		return now.isBefore(this.asideUntil);
	}

	double failureShare() {
		return this.failureShare;
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
	private record OthersShare(int requests, Instant validUntil) {
	}

}
