package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Timings and limits of group control.
 *
 * @param leaseLength how long a controller's lease is valid after a renewal was sent
 * @param leaseRenewal how often the lease is renewed by its holder and read by the other
 * candidates
 * @param decisionInterval how often a controller makes decisions
 * @param allocationInterval how often the allocation is read if nothing else requires it
 * @param callTimeout timeout of a call to the platform
 * @param orderWindow maximum time from the live read of the allocation to the sending of
 * a command based on it
 * @param orderRetry initial delay before a command without effect is sent again; it
 * doubles with each retry
 * @param orderRetryLongest maximum delay before such a retry
 * @param concurrentLoads maximum number of loads in progress in the data centre; a group
 * with more members loads alone
 * @param failedLoadsBeforeStop number of failed loads of a new model version after which
 * the change to it stops
 * @param drainLongest maximum time to wait for a draining group whose head still reports
 * running requests; applies only if a member is leaving
 * @param repair rules of repair, derived from the user's weights
 */
public record GroupPolicy(Duration leaseLength, Duration leaseRenewal, Duration decisionInterval,
		Duration allocationInterval, Duration callTimeout, Duration orderWindow, Duration orderRetry,
		Duration orderRetryLongest, int concurrentLoads, int failedLoadsBeforeStop, Duration drainLongest,
		RepairRules repair) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static GroupPolicy standard() {
		return new GroupPolicy(Duration.ofSeconds(6), Duration.ofSeconds(2), Duration.ofMillis(500),
				Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofSeconds(4),
				Duration.ofMinutes(2), 4, 3, Duration.ofMinutes(2), GroupWeights.standard().repairRules());
	}

	/**
	 * Returns this policy with other weights.
	 * @param weights the user's cost of downtime against that of stranded accelerators
	 * @return the changed policy
	 */
	public GroupPolicy withWeights(GroupWeights weights) {
		return withRepair(weights.repairRules());
	}

	/**
	 * Returns this policy with other repair rules.
	 * @param repairRules the rules
	 * @return the changed policy
	 */
	public GroupPolicy withRepair(RepairRules repairRules) {
		return new GroupPolicy(this.leaseLength, this.leaseRenewal, this.decisionInterval, this.allocationInterval,
				this.callTimeout, this.orderWindow, this.orderRetry, this.orderRetryLongest, this.concurrentLoads,
				this.failedLoadsBeforeStop, this.drainLongest, repairRules);
	}

	/**
	 * Returns this policy with another limit on concurrent loads.
	 * @param maximumLoads maximum number of loads in progress
	 * @return the changed policy
	 */
	public GroupPolicy withConcurrentLoads(int maximumLoads) {
		return new GroupPolicy(this.leaseLength, this.leaseRenewal, this.decisionInterval, this.allocationInterval,
				this.callTimeout, this.orderWindow, this.orderRetry, this.orderRetryLongest, maximumLoads,
				this.failedLoadsBeforeStop, this.drainLongest, this.repair);
	}

}
