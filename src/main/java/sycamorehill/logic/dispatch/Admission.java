package sycamorehill.logic.dispatch;

import java.time.Duration;

/**
 * Decides whether a request is given to the best target that there is, and how urgently.
 *
 * The load it answers: more requests than slots, for seconds. An answer in time is worth
 * about four late ones, so requests that can still be in time go first in the target's
 * queue, and those that will be late in any case only use what is left. Of these a target
 * is given few: beyond that a request would hold its caller until the end of its time,
 * and is refused at once instead. A caller that comes back after a refusal is let in
 * before new ones that would be late too.
 */
final class Admission {

	/**
	 * Requests with a target, against its slots, up to which one that will be late is
	 * taken: more of them fill the slots before those that can be in time.
	 */
	private static final double MOST_LATE = 1.15;

	/** The same for callers that were refused before. */
	private static final double MOST_RETURNING = 1.4;

	/**
	 * Part of the route's time that a caller has left when it comes for the first time;
	 * one that comes back has waited for at least 300 ms of 6 to 8 s.
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
		if (inTime || outlook.requests() < outlook.slots()) {
			return inTime ? Entrance.IN_TIME : Entrance.LATE;
		}
		double most = outlook.returning() ? MOST_RETURNING : MOST_LATE;
		return (outlook.requests() < most * outlook.slots()) ? Entrance.LATE : Entrance.REFUSED;
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
	 */
	record Outlook(Duration expectedFirst, Duration target, Duration waited, Duration left, Duration timeout,
			int requests, int slots) {

		private boolean returning() {
			return this.left.plus(this.waited).toMillis() < FIRST_COME * this.timeout.toMillis();
		}

	}

}
