package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Parameters of the selection of a target.
 *
 * @param firstToken assumed time to the first token without load, before any measurement
 * @param prefillPerToken prefill time for each prompt token that is not cached
 * @param slowdownPerRunning fraction by which each running request slows a target down
 * @param linkCost cost of routing to another data centre, which is selected only where
 * the wait is shorter by more than this
 * @param affinityLoadBound multiple of the mean load up to which a target is preferred
 * for its cached prefixes
 * @param rememberedPrefixes maximum number of prefixes remembered from requests that this
 * node sent
 * @param prefixMemory how long a prefix is assumed to stay cached
 * @param candidates number of randomly drawn targets that are compared, in addition to
 * those that hold the prefix
 * @param even relative difference up to which two predictions count as equal
 */
public record RoutingPolicy(Duration firstToken, Duration prefillPerToken, double slowdownPerRunning, Duration linkCost,
		double affinityLoadBound, int rememberedPrefixes, Duration prefixMemory, int candidates, double even) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static RoutingPolicy standard() {
		return new RoutingPolicy(Duration.ofMillis(50), Duration.ofNanos(50_000), 0.05, Duration.ofMillis(50), 1.5,
				4096, Duration.ofSeconds(60), 8, 0.02);
	}

}
