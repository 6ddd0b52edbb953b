package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.RequestRate;

/**
 * Parsed head of a target's answer.
 *
 * @param identifier the identifier of the attempt that is answered
 * @param notRun whether the target reports that it did not run the request
 * @param otherTarget whether a target other than the intended one answered
 * @param signed whether the answer carries the signature of the target
 * @param load the load of the target
 * @param rateLimit the rate of requests that the target accepts from all nodes together;
 * empty if it reports no limit
 * @param weightsVersion the version of the weights with which the answer started
 * @param retryAfter the time after which the request may be retried
 * @param idleTimeout the time for which the target keeps an idle connection open
 */
public record TargetResponseHead(Optional<String> identifier, boolean notRun, boolean otherTarget, boolean signed,
		Optional<EngineLoad> load, Optional<RequestRate> rateLimit, Optional<String> weightsVersion,
		Optional<Duration> retryAfter, Optional<Duration> idleTimeout) {
}
