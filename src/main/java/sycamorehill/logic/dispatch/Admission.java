package sycamorehill.logic.dispatch;

import java.time.Duration;

/**
 * Decides whether a request is admitted to the best available target, and whether as an
 * on-time or as a late one.
 *
 * In an overload of some seconds, a target whose slots are all taken answers no request
 * on time: a request that queues for a slot uses up its time. One answer on time is worth
 * several late ones. Requests that will be late therefore use spare capacity only: they
 * are admitted while a slot or two are free, and refused at once otherwise. Retries after
 * a refusal take precedence over new requests that would be late too. A stream that has
 * started is admitted up to a higher load, because aborting it costs its caller more than
 * the wait.
 *
 * A request over the fair share of its workspace takes a free slot only, and yields to
 * all others in the target's queue, even if it can be on time. While there are such
 * requests, those within their shares may queue where they would otherwise be refused.
 */
final class Admission {

	/**
	 * Maximum number of requests per slot at which a late request is admitted. One slot
	 * in ten stays free for requests that can be on time.
	 */
	private static final double MAXIMUM_LOAD_FOR_LATE = 0.9;

	/**
	 * Maximum number of requests per slot at which a retry after a refusal is admitted.
	 */
	private static final double MAXIMUM_LOAD_FOR_RETRIES = 1.0;

	/**
	 * Number of requests per slot from which on the shares of workspaces matter. With
	 * fewer, no request queues, even though the requests of other nodes become known
	 * late.
	 */
	private static final double MINIMUM_LOAD_FOR_SHARES = 0.75;

	/**
	 * Maximum number of requests per slot at which a request over the share of its
	 * workspace is admitted: it takes a free slot, but doesn't queue.
	 */
	private static final double MAXIMUM_LOAD_FOR_OVER_SHARE = 1.0;

	/**
	 * Requests per slot beyond its other limit up to which a request within the share of
	 * its workspace is admitted. It queues before the requests that are over a share. The
	 * known load is often too high, because reports are old.
	 */
	private static final double ADDITIONAL_LOAD_WITHIN_SHARE = 0.6;

	/** Maximum number of requests per slot at which a started stream is admitted. */
	private static final double MAXIMUM_LOAD_FOR_STARTED_STREAMS = 1.4;

	/**
	 * Minimum share of the route's timeout that a new request still has when it arrives.
	 * A request with less is a retry: its caller has already waited for some of the time.
	 */
	private static final double MINIMUM_TIMEOUT_SHARE_OF_NEW_REQUESTS = 0.97;

	/** Share of the time left within which the answer must start. */
	private static final double MAXIMUM_FIRST_ANSWER_SHARE = 0.5;

	private Admission() {
	}

	static Decision decide(Estimate estimate) {
		if (estimate.timeToFirstAnswer().toMillis() > MAXIMUM_FIRST_ANSWER_SHARE * estimate.timeLeft().toMillis()) {
			return Decision.REFUSED;
		}
		boolean onTime = !estimate.isRetry() && estimate.elapsed()
			.plus(estimate.timeToFirstAnswer())
			.compareTo(estimate.firstAnswerObjective()) <= 0;
		boolean sharesMatter = !hasRoomFor(estimate, MINIMUM_LOAD_FOR_SHARES);
		if (sharesMatter && estimate.isRestrictedToFreeSlots()) {
			double load = onTime ? MAXIMUM_LOAD_FOR_OVER_SHARE : maximumLoad(estimate);
			return hasRoomFor(estimate, load) ? Decision.LATE : Decision.REFUSED;
		}
		if (onTime) {
			return Decision.ON_TIME;
		}
		if (sharesMatter && estimate.standing() == WorkspaceStanding.Level.WITHIN_SHARE
				&& hasRoomFor(estimate, maximumLoad(estimate) + ADDITIONAL_LOAD_WITHIN_SHARE)) {
			return Decision.WITHIN_SHARE;
		}
		return hasRoomFor(estimate, maximumLoad(estimate)) ? Decision.LATE : Decision.REFUSED;
	}

	private static boolean hasRoomFor(Estimate estimate, double load) {
		return estimate.requests() < load * estimate.slots();
	}

	private static double maximumLoad(Estimate estimate) {
		if (estimate.answerStarted()) {
			return MAXIMUM_LOAD_FOR_STARTED_STREAMS;
		}
		return estimate.isRetry() ? MAXIMUM_LOAD_FOR_RETRIES : MAXIMUM_LOAD_FOR_LATE;
	}

	/**
	 * The result of an admission decision.
	 */
	enum Decision {

		/** The request is admitted and can be answered on time. */
		ON_TIME,

		/**
		 * The request is admitted but will be late, and yields to requests that can be on
		 * time.
		 */
		LATE,

		/**
		 * The request may be late, because other workspaces use more than their shares,
		 * and doesn't yield to them.
		 */
		WITHIN_SHARE,

		/** The request is not admitted. */
		REFUSED

	}

	/**
	 * The state of a request and of the best target for it.
	 *
	 * @param timeToFirstAnswer expected time to the first answer
	 * @param firstAnswerObjective longest time to the first answer that is on time
	 * @param elapsed time since the request arrived
	 * @param timeLeft time that the caller and the route still allow
	 * @param timeout total time that the route allows
	 * @param requests requests that the target has
	 * @param slots requests that the target runs concurrently
	 * @param answerStarted whether the caller has received part of the answer
	 * @param standing how the request stands to the fair share of its workspace
	 */
	record Estimate(Duration timeToFirstAnswer, Duration firstAnswerObjective, Duration elapsed, Duration timeLeft,
			Duration timeout, int requests, int slots, boolean answerStarted, WorkspaceStanding.Level standing) {

		/**
		 * Creates the estimate of a request that no share concerns.
		 * @param timeToFirstAnswer expected time to the first answer
		 * @param firstAnswerObjective longest time to the first answer that is on time
		 * @param elapsed time since the request arrived
		 * @param timeLeft time that the caller and the route still allow
		 * @param timeout total time that the route allows
		 * @param requests requests that the target has
		 * @param slots requests that the target runs concurrently
		 * @param answerStarted whether the caller has received part of the answer
		 */
		Estimate(Duration timeToFirstAnswer, Duration firstAnswerObjective, Duration elapsed, Duration timeLeft,
				Duration timeout, int requests, int slots, boolean answerStarted) {
			this(timeToFirstAnswer, firstAnswerObjective, elapsed, timeLeft, timeout, requests, slots, answerStarted,
					WorkspaceStanding.Level.UNCONTESTED);
		}

		private boolean isRestrictedToFreeSlots() {
			return this.standing == WorkspaceStanding.Level.OVER_SHARE && !this.answerStarted;
		}

		private boolean isRetry() {
			return this.timeLeft.plus(this.elapsed).toMillis() < MINIMUM_TIMEOUT_SHARE_OF_NEW_REQUESTS
					* this.timeout.toMillis();
		}

	}

}
