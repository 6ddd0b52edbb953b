package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of the choice of a target.
 *
 * @param firstToken time to the first token at rest before anything was measured
 * @param prefillPerToken time for each prompt token that is not cached
 * @param slowdownPerRunning share by which each running request slows a target
 * @param linkCost what another data centre costs: it is chosen where the wait is shorter
 * by more
 * @param affinityLoadBound how many times the mean load a target may have and still draw
 * requests by its cached prefixes
 * @param rememberedPrefixes most prefixes of own sends that are remembered
 * @param prefixMemory how long a prefix is taken to stay cached
 * @param candidates how many targets are compared, drawn at random, beside the ones that
 * have the prefix
 * @param even share by which two predictions may differ and still count as equal
 */
public record RoutingPolicy(Duration firstToken, Duration prefillPerToken, double slowdownPerRunning, Duration linkCost,
		double affinityLoadBound, int rememberedPrefixes, Duration prefixMemory, int candidates, double even) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static RoutingPolicy standard() {
		return new RoutingPolicy(Duration.ofMillis(50), Duration.ofNanos(50_000), 0.05, Duration.ofMillis(50), 1.5,
				4096, Duration.ofSeconds(60), 8, 0.02);
	}

}
