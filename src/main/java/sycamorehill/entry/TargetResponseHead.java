package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.RequestRate;

/**
 * What the head of a target's answer says.
 *
 * @param identifier the identifier of the attempt that it answers
 * @param notRun whether the target says that it did not run the request
 * @param otherTarget whether another target than the expected one answered
 * @param signed whether the answer carries the target's signature
 * @param load the target's load
 * @param rateLimit requests that the target takes from all nodes together; empty if it
 * names no limit
 * @param weightsVersion version of the weights that the answer began with
 * @param retryAfter when to come back
 * @param idleTimeout how long the target keeps the idle connection
 */
public record TargetResponseHead(Optional<String> identifier, boolean notRun, boolean otherTarget, boolean signed,
		Optional<EngineLoad> load, Optional<RequestRate> rateLimit, Optional<String> weightsVersion,
		Optional<Duration> retryAfter, Optional<Duration> idleTimeout) {
}
