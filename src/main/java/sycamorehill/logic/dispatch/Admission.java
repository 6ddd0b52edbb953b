package sycamorehill.logic.dispatch;

import java.time.Duration;

/**
 * Decides whether a request is given to the best target that there is, and how urgently.
 *
 * The load it answers: more requests than slots, for seconds. An answer in time is worth
 * several late ones, and a target whose slots are all taken answers nobody in time: a
 * request that waits there for a slot has used up its time. Requests that will be late in
 * any case therefore use only what is left: they are taken while a slot or two are free,
 * and refused at once otherwise. A caller that comes back after a refusal is let in
 * before new ones that would be late too. A stream that has begun goes on wherever it
 * can: breaking it off costs its caller more than the wait.
 */
final class Admission {

	/**
	 * Requests with a target, against its slots, up to which one that will be late is
	 * taken: one slot of ten is kept for those that can be in time.
	 */
	private static final double MAXIMUM_LOAD_FOR_LATE = 0.9;

	/** The same for callers that were refused before. */
	private static final double MAXIMUM_LOAD_FOR_RETRIES = 1.0;

	/** The same for streams that have begun. */
	private static final double MAXIMUM_LOAD_FOR_STARTED_STREAMS = 1.4;

	/**
	 * Part of the route's time that a caller has left when it comes for the first time;
	 * one that comes back has waited for some of it.
	 */
	private static final double MINIMUM_TIMEOUT_SHARE_OF_NEW_REQUESTS = 0.97;

	/** Part of the time left within which the answer must begin. */
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
	 * How a request is taken.
	 */
	enum Decision {

		/** It can be in time. */
		ON_TIME,

		/** It will be late, and gives way to those that can be in time. */
		LATE,

		/** It is not taken. */
		REFUSED

	}

	/**
	 * What is known of a request and of the best target for it.
	 *
	 * @param timeToFirstAnswer expected time to the first answer
	 * @param firstAnswerObjective time to the first answer that is in time
	 * @param elapsed time since the request came
	 * @param timeLeft time that the caller and the route still allow
	 * @param timeout time that the route allows in all
	 * @param requests requests that the target has
	 * @param slots requests that it runs at once
	 * @param answerStarted whether the caller has part of the answer already
	 */
	record Estimate(Duration timeToFirstAnswer, Duration firstAnswerObjective, Duration elapsed, Duration timeLeft,
			Duration timeout, int requests, int slots, boolean answerStarted) {

		private boolean isRetry() {
			return this.timeLeft.plus(this.elapsed).toMillis() < MINIMUM_TIMEOUT_SHARE_OF_NEW_REQUESTS
					* this.timeout.toMillis();
		}

	}

}
