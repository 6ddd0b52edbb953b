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
	private static final double MOST_LATE = 0.9;

	/** The same for callers that were refused before. */
	private static final double MOST_RETURNING = 1.0;

	/** The same for streams that have begun. */
	private static final double MOST_BEGUN = 1.4;

	/**
	 * Part of the route's time that a caller has left when it comes for the first time;
	 * one that comes back has waited for some of it.
	 */
	private static final double FIRST_COME = 0.97;

	/** Part of the time left within which the answer must begin. */
	private static final double USABLE_TIME = 0.5;

	private Admission() {
	}

	static Entrance decide(Outlook outlook) {
		if (outlook.expectedFirst().toMillis() > USABLE_TIME * outlook.left().toMillis()) {
			return Entrance.REFUSED;
		}
		boolean inTime = !outlook.returning()
				&& outlook.waited().plus(outlook.expectedFirst()).compareTo(outlook.target()) <= 0;
		if (inTime) {
			return Entrance.IN_TIME;
		}
		return (outlook.requests() < most(outlook) * outlook.slots()) ? Entrance.LATE : Entrance.REFUSED;
	}

	private static double most(Outlook outlook) {
		if (outlook.begun()) {
			return MOST_BEGUN;
		}
		return outlook.returning() ? MOST_RETURNING : MOST_LATE;
	}

	/**
	 * How a request is taken.
	 */
	enum Entrance {

		/** It can be in time. */
		IN_TIME,

		/** It will be late, and gives way to those that can be in time. */
		LATE,

		/** It is not taken. */
		REFUSED

	}

	/**
	 * What is known of a request and of the best target for it.
	 *
	 * @param expectedFirst expected time to the first answer
	 * @param target time to the first answer that is in time
	 * @param waited time since the request came
	 * @param left time that the caller and the route still allow
	 * @param timeout time that the route allows in all
	 * @param requests requests that the target has
	 * @param slots requests that it runs at once
	 * @param begun whether the caller has part of the answer already
	 */
	record Outlook(Duration expectedFirst, Duration target, Duration waited, Duration left, Duration timeout,
			int requests, int slots, boolean begun) {

		private boolean returning() {
			return this.left.plus(this.waited).toMillis() < FIRST_COME * this.timeout.toMillis();
		}

	}

}
