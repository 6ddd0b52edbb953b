package sycamorehill.experiment;

import java.time.Duration;

import sycamorehill.model.policy.OrderPolicy;

/**
 * One trial of orders.
 *
 * @param name what it is called in the table
 * @param nodes how many nodes
 * @param ordersPerSecond orders a second over all nodes
 * @param issuedShare the part of orders whose key is a number issued by a node
 * @param length how long orders come
 * @param outageFrom when the platform goes down
 * @param outageLength for how long
 * @param keepers whether a shard's claims go to one node rather than each node writing
 * its own
 * @param policy the bounds
 * @param seed decides delays and keys
 */
record OrderTrialSetting(String name, int nodes, int ordersPerSecond, double issuedShare, Duration length,
		Duration outageFrom, Duration outageLength, boolean keepers, OrderPolicy policy, long seed) {

	static OrderTrialSetting of(String name, int nodes, int ordersPerSecond, OrderPolicy policy) {
		return new OrderTrialSetting(name, nodes, ordersPerSecond, 0, Duration.ofSeconds(60), Duration.ZERO,
				Duration.ZERO, true, policy, 1);
	}

	OrderTrialSetting withoutKeepers() {
		return new OrderTrialSetting(this.name, this.nodes, this.ordersPerSecond, this.issuedShare, this.length,
				this.outageFrom, this.outageLength, false, this.policy, this.seed);
	}

	OrderTrialSetting withOutage(double issued) {
		return new OrderTrialSetting(this.name, this.nodes, this.ordersPerSecond, issued, this.length,
				Duration.ofSeconds(20), Duration.ofSeconds(20), this.keepers, this.policy, this.seed);
	}

	boolean down(Duration at) {
		return at.compareTo(this.outageFrom) >= 0 && at.compareTo(this.outageFrom.plus(this.outageLength)) < 0;
	}

}
