package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Timings and limits of order claims.
 *
 * @param shards number of shards to which keys are hashed; the same on all nodes and
 * never changed
 * @param commitInterval mean time between two writes of a shard under load
 * @param commitBurst number of writes that may follow each other immediately after an
 * idle period
 * @param settlementDelay maximum time for which a settlement waits to share its write
 * with a claim
 * @param claimPatience maximum time that a call waits for its claim
 * @param claimRetry time after which a claim is requested again
 * @param settlementRetry initial time after which a settlement is sent again; it doubles
 * with each retry
 * @param platformTimeout time after which the result of a platform call is unknown
 * @param viewBound maximum time since a page was last confirmed; an older one is read
 * again before a write
 * @param retention minimum time for which a key is remembered
 * @param largestAnswer maximum number of characters of a stored answer
 * @param mostClaims maximum number of claims stored in a shard
 * @param mostHeld maximum number of claims that one node waits for, runs or settles
 * @param issuedLifetime how long an order number issued by a node is valid
 */
public record OrderPolicy(int shards, Duration commitInterval, int commitBurst, Duration settlementDelay,
		Duration claimPatience, Duration claimRetry, Duration settlementRetry, Duration platformTimeout,
		Duration viewBound, Duration retention, int largestAnswer, int mostClaims, int mostHeld,
		Duration issuedLifetime) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static OrderPolicy standard() {
		return new OrderPolicy(16, Duration.ofMillis(200), 3, Duration.ofSeconds(1), Duration.ofSeconds(2),
				Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofMinutes(1),
				Duration.ofHours(6), 8192, 20_000, 20_000, Duration.ofHours(1));
	}

}
