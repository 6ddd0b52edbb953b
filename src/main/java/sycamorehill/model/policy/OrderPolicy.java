package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of claims.
 *
 * @param shards how many shards the keys are hashed to; the same on all nodes, for good
 * @param commitInterval mean time between two writes of one shard under load
 * @param commitBurst how many writes may follow each other at once after a quiet time
 * @param settlementDelay the longest that a settlement waits for a claim to share its
 * write
 * @param claimPatience how long a call waits for its claim
 * @param claimRetry how long until the claim is asked for again
 * @param settlementRetry how long until a settlement is sent again, doubled each time
 * @param platformTimeout after it a platform call's answer is not known
 * @param viewBound a page not confirmed for this long is read again before a write
 * @param retention how long a key is remembered at least
 * @param largestAnswer the most characters of an answer that is kept
 * @param mostClaims the most claims kept in one shard
 * @param mostHeld the most claims that one node waits for, runs or settles
 * @param issuedLifetime how long an order number issued by a node may be used
 */
public record OrderPolicy(int shards, Duration commitInterval, int commitBurst, Duration settlementDelay,
		Duration claimPatience, Duration claimRetry, Duration settlementRetry, Duration platformTimeout,
		Duration viewBound, Duration retention, int largestAnswer, int mostClaims, int mostHeld,
		Duration issuedLifetime) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static OrderPolicy standard() {
		return new OrderPolicy(16, Duration.ofMillis(200), 3, Duration.ofSeconds(1), Duration.ofSeconds(2),
				Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofMinutes(1),
				Duration.ofHours(6), 8192, 20_000, 20_000, Duration.ofHours(1));
	}

}
