package sycamorehill.logic.admission;

import java.time.Instant;

import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestDescription;

/**
 * A request that waits to be admitted.
 *
 * @param request the request
 * @param handling how often it may be sent
 * @param workspace whose it is
 * @param place its place among those of its workspace
 * @param arrivedAt when it came
 * @param leaveBy when it is refused at the latest if it still waits
 */
record WaitingRequest(RequestDescription request, Idempotency handling, WorkspaceName workspace, QueuePosition place,
		Instant arrivedAt, Instant leaveBy) {

	/**
	 * Its part of the work: prompt and answer in tokens.
	 * @return at least 1
	 */
	double cost() {
		return Math.max(1, this.request.promptTokens() + this.request.maximumTokens());
	}

	/**
	 * The order within a workspace. A lower priority counts as having come later: it
	 * waits behind higher ones, but never behind those that come much later, so it can't
	 * starve.
	 *
	 * @param countsFrom when it counts as having come
	 * @param number tells requests of the same instant apart
	 */
	record QueuePosition(Instant countsFrom, long number) implements Comparable<QueuePosition> {

		@Override
		public int compareTo(QueuePosition other) {
			int byTime = this.countsFrom.compareTo(other.countsFrom);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

}
