package sycamorehill.model.serving;

/**
 * How far the requests that a cold target receives in one second, from all nodes
 * together, may exceed what it tolerates.
 *
 * @param overshoot factor of the tolerated rate
 * @param slack number of requests that are allowed in addition
 */
public record ColdTargetTolerance(double overshoot, double slack) {

	/**
	 * Returns how many requests a cold target may receive in any one second.
	 * @param warmUp what the target tolerates
	 * @return the number of requests
	 */
	public double maximumRequests(WarmUp warmUp) {
		return warmUp.requestsPerSecond() * this.overshoot + this.slack;
	}

}
