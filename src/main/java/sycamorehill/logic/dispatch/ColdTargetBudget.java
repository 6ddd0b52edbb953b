package sycamorehill.logic.dispatch;

import java.time.Duration;

import sycamorehill.model.serving.ColdTargetTolerance;
import sycamorehill.model.serving.WarmUp;

/**
 * The requests that a cold target may receive from all nodes together, and their division
 * among the nodes that share it.
 *
 * In one second the nodes that share a target send at most their bursts and the refill of
 * a second. What is left of the bound covers requests that were sent before that second
 * and arrive in it, because a connection had to be opened first.
 *
 * @param maximumRequests requests that may arrive in any one second
 * @param requestsPerSecond refill of the buckets of all nodes together
 */
record ColdTargetBudget(double maximumRequests, double requestsPerSecond) {

	/** Share of the requests beyond the refill that nodes may send at once. */
	private static final double BURST_SHARE = 0.75;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Creates the budget of the cold targets of a service. The refill leaves room for a
	 * burst of one request.
	 * @param tolerance how far cold targets may be overloaded
	 * @param warmUp what they tolerate
	 * @return the budget
	 */
	static ColdTargetBudget of(ColdTargetTolerance tolerance, WarmUp warmUp) {
		double maximum = tolerance.maximumRequests(warmUp);
		return new ColdTargetBudget(maximum, Math.max(0, Math.min(warmUp.requestsPerSecond(), maximum - 1)));
	}

	/**
	 * Returns how many nodes share a target, if there are as many. Each of them may send
	 * one request at once.
	 * @return the number of nodes; 0 if a cold target may receive no request
	 */
	int maximumNodes() {
		return (this.maximumRequests < 1) ? 0 : Math.max(1, (int) burst());
	}

	private double burst() {
		return BURST_SHARE * (this.maximumRequests - this.requestsPerSecond);
	}

	/**
	 * Returns the share of one of the nodes that share a target.
	 * @param nodes number of all nodes that are counted
	 * @return the share
	 */
	Share share(int nodes) {
		int sharing = Math.min(nodes, maximumNodes());
		return (sharing == 0) ? Share.NONE
				: new Share(this.requestsPerSecond / sharing, Math.max(1, burst() / sharing), transitTime());
	}

	private Duration transitTime() {
		double left = this.maximumRequests - this.requestsPerSecond - Math.max(1, burst());
		double seconds = (this.requestsPerSecond > 0) ? Math.max(0, left) / this.requestsPerSecond : 0;
		return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
	}

	/**
	 * The share of one node.
	 *
	 * @param requestsPerSecond refill of its token bucket
	 * @param burst size of its token bucket
	 * @param transitTime how long its requests may take to arrive without slowing the
	 * refill down
	 */
	record Share(double requestsPerSecond, double burst, Duration transitTime) {

		/** The share of a node that may send nothing. */
		static final Share NONE = new Share(0, 0, Duration.ZERO);

	}

}
