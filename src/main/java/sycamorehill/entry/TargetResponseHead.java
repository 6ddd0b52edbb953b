package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.model.serving.TargetReport;

/**
 * Parsed head of a target's answer.
 *
 * @param identifier the identifier of the attempt that is answered
 * @param notRun whether the target reports that it did not run the request
 * @param otherTarget whether a target other than the intended one answered
 * @param signed whether the answer carries the signature of the target
 * @param report what the target reports about itself
 * @param weightsVersion the version of the weights with which the answer started
 * @param idleTimeout the time for which the target keeps an idle connection open
 */
public record TargetResponseHead(Optional<String> identifier, boolean notRun, boolean otherTarget, boolean signed,
		TargetReport report, Optional<String> weightsVersion, Optional<Duration> idleTimeout) {
}
