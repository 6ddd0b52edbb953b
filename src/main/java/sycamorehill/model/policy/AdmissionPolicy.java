package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of queues, limits and concurrency.
 *
 * @param queueLimit most requests that wait for one service on this node
 * @param longestWait longest time that a request may wait in the queue
 * @param longestLimitWait longest time that a request may wait for its workspace's limit
 * @param priorityStep how much later a request of the next lower priority counts as
 * arrived
 * @param fewestConcurrent lower bound of the concurrency limit of a service
 * @param mostConcurrent upper bound of the concurrency limit of a service
 * @param firstConcurrent the concurrency limit of a service before anything was measured
 * @param latencyTolerance how much slower than at rest the first token may come before
 * the concurrency limit is lowered
 * @param nodesPerDataCentre most nodes of one data centre that are alive at once; each
 * owns this part of its data centre's part of every workspace limit
 * @param shareLease longest time for which a part of a limit is lent
 * @param shareInterval time between two asks for the same share
 * @param shareFanOut most nodes that a coordinator asks at once
 */
public record AdmissionPolicy(int queueLimit, Duration longestWait, Duration longestLimitWait, Duration priorityStep,
		int fewestConcurrent, int mostConcurrent, int firstConcurrent, double latencyTolerance, int nodesPerDataCentre,
		Duration shareLease, Duration shareInterval, int shareFanOut) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static AdmissionPolicy standard() {
		return new AdmissionPolicy(256, Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(2), 2, 1024,
				32, 2.0, 2, Duration.ofSeconds(2), Duration.ofMillis(400), 16);
	}

}
