package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Limits on queues, workspaces and concurrency.
 *
 * @param queueLimit maximum number of requests that wait for one service on this node
 * @param longestWait maximum time that a request may wait in the queue
 * @param longestLimitWait maximum time that a request may wait for its workspace's limit
 * @param priorityStep delay added to the arrival time of a request for each step of lower
 * priority
 * @param fewestConcurrent lower bound of a service's concurrency limit
 * @param mostConcurrent upper bound of a service's concurrency limit
 * @param firstConcurrent initial concurrency limit of a service, before any measurement
 * @param latencyTolerance factor by which the first token may be slower than without load
 * before the concurrency limit is lowered
 * @param nodesPerDataCentre maximum number of live nodes in a data centre; each node owns
 * one part in this number of its data centre's share of every workspace limit
 * @param shareLease maximum time for which a share of a limit is lent
 * @param shareInterval time after which the same share is asked for again
 * @param shareFanOut maximum number of nodes that a coordinator asks for shares at once
 */
public record AdmissionPolicy(int queueLimit, Duration longestWait, Duration longestLimitWait, Duration priorityStep,
		int fewestConcurrent, int mostConcurrent, int firstConcurrent, double latencyTolerance, int nodesPerDataCentre,
		Duration shareLease, Duration shareInterval, int shareFanOut) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static AdmissionPolicy standard() {
		return new AdmissionPolicy(256, Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(2), 2, 1024,
				32, 2.0, 2, Duration.ofSeconds(2), Duration.ofMillis(400), 16);
	}

}
