package sycamorehill.logic.order;

import java.time.Duration;

import sycamorehill.model.policy.OrderPolicy;

/**
 * Creates order policies for tests.
 */
final class OrderPolicies {

	private OrderPolicies() {
	}

	static OrderPolicy withShards(int shards) {
		return withRetention(shards, OrderPolicy.standard().retention(), OrderPolicy.standard().mostClaims());
	}

	static OrderPolicy withRetention(int shards, Duration retention, int mostClaims) {
		OrderPolicy standard = OrderPolicy.standard();
		return new OrderPolicy(shards, standard.commitInterval(), standard.commitBurst(), standard.settlementDelay(),
				standard.claimPatience(), standard.claimRetry(), standard.settlementRetry(), standard.platformTimeout(),
				standard.viewBound(), retention, standard.largestAnswer(), mostClaims, standard.mostHeld(),
				standard.issuedLifetime());
	}

}
