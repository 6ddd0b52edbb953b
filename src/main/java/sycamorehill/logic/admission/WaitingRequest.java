package sycamorehill.logic.admission;

import java.time.Instant;

import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestDescription;

/**
 * A request that waits to be admitted.
 *
 * @param request the request
 * @param handling how often the request may be sent to targets
 * @param workspace the workspace that sent it
 * @param place its position among the requests of its workspace
 * @param arrivedAt when it arrived
 * @param leaveBy when it is refused if it is still waiting
 */
record WaitingRequest(RequestDescription request, Idempotency handling, WorkspaceName workspace, QueuePosition place,
		Instant arrivedAt, Instant leaveBy) {

	/**
	 * Returns the cost of the request: the tokens of its prompt and its answer.
	 * @return the cost in tokens, at least 1
	 */
	double cost() {
		return Math.max(1, this.request.promptTokens() + this.request.maximumTokens());
	}

	/**
	 * The position of a request within its workspace. A request of lower priority counts
	 * as having arrived later. It waits behind requests of higher priority, but not
	 * behind those that arrive much later, so it can't starve.
	 *
	 * @param countsFrom when the request counts as having arrived
	 * @param number the number that orders requests with the same time
	 */
	record QueuePosition(Instant countsFrom, long number) implements Comparable<QueuePosition> {

		@Override
		public int compareTo(QueuePosition other) {
			int byTime = this.countsFrom.compareTo(other.countsFrom);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

}
