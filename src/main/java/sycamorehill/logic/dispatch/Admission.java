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
		if (onTime) {
			return Decision.ON_TIME;
		}
		return (estimate.requests() < maximumLoad(estimate) * estimate.slots()) ? Decision.LATE : Decision.REFUSED;
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
	 */
	record Estimate(Duration timeToFirstAnswer, Duration firstAnswerObjective, Duration elapsed, Duration timeLeft,
			Duration timeout, int requests, int slots, boolean answerStarted) {

		private boolean isRetry() {
			return this.timeLeft.plus(this.elapsed).toMillis() < MINIMUM_TIMEOUT_SHARE_OF_NEW_REQUESTS
					* this.timeout.toMillis();
		}

	}

}
