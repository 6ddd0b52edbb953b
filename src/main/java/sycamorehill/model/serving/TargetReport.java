package sycamorehill.model.serving;

import java.time.Duration;
import java.util.Optional;

/**
 * What a target reports about itself with an answer.
 *
 * @param load the target's load; empty if it reports none
 * @param rateLimit rate limit of the target over all nodes; empty if it reports none
 * @param rest how long the target wants no requests from this node; empty if it accepts
 * them
 * @param leaving whether the target is about to stop
 */
public record TargetReport(Optional<EngineLoad> load, Optional<RequestRate> rateLimit, Optional<Duration> rest,
		boolean leaving) {
}
