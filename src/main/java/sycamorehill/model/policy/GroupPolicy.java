package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of group control.
 *
 * @param leaseLength how long a controller's lease holds after a renewal was sent
 * @param leaseRenewal how often it is renewed, and looked at by the other candidates
 * @param decisionInterval how often a controller decides
 * @param allocationInterval how often the allocation is read without another reason
 * @param callTimeout after it a call to the platform is given up
 * @param orderWindow the longest time between the live read of the allocation and the
 * sending of an order that rests on it
 * @param orderRetry the first wait before an order without effect is given again; it
 * doubles with each try
 * @param orderRetryLongest the longest such wait
 * @param concurrentLoads how many loads the data centre may have under way at once; a
 * group larger than that loads alone
 * @param failedLoadsBeforeStop failed loads of a new model version after which a change
 * stops
 * @param drainLongest after it a drained group is changed although its head still counts
 * running work; only for members that go anyway
 * @param repair how groups are repaired, from the user's weights
 */
public record GroupPolicy(Duration leaseLength, Duration leaseRenewal, Duration decisionInterval,
		Duration allocationInterval, Duration callTimeout, Duration orderWindow, Duration orderRetry,
		Duration orderRetryLongest, int concurrentLoads, int failedLoadsBeforeStop, Duration drainLongest,
		RepairRules repair) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static GroupPolicy standard() {
		return new GroupPolicy(Duration.ofSeconds(6), Duration.ofSeconds(2), Duration.ofMillis(500),
				Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofSeconds(4),
				Duration.ofMinutes(2), 4, 3, Duration.ofMinutes(2), GroupWeights.standard().repairRules());
	}

	/**
	 * The same bounds with other weights.
	 * @param weights what downtime and stranded accelerators cost the user
	 * @return the changed policy
	 */
	public GroupPolicy withWeights(GroupWeights weights) {
		return withRepair(weights.repairRules());
	}

	/**
	 * The same bounds with other rules of repair.
	 * @param repairRules the rules
	 * @return the changed policy
	 */
	public GroupPolicy withRepair(RepairRules repairRules) {
		return new GroupPolicy(this.leaseLength, this.leaseRenewal, this.decisionInterval, this.allocationInterval,
				this.callTimeout, this.orderWindow, this.orderRetry, this.orderRetryLongest, this.concurrentLoads,
				this.failedLoadsBeforeStop, this.drainLongest, repairRules);
	}

	/**
	 * The same bounds with another number of loads at once.
	 * @param maximumLoads the number
	 * @return the changed policy
	 */
	public GroupPolicy withConcurrentLoads(int maximumLoads) {
		return new GroupPolicy(this.leaseLength, this.leaseRenewal, this.decisionInterval, this.allocationInterval,
				this.callTimeout, this.orderWindow, this.orderRetry, this.orderRetryLongest, maximumLoads,
				this.failedLoadsBeforeStop, this.drainLongest, this.repair);
	}

}
