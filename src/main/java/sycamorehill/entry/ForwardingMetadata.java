package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;

/**
 * What a target is told besides the caller's own words.
 *
 * @param target the target that is meant; any other one refuses
 * @param timeLeft how long the answer is waited for
 * @param workspace the caller's workspace
 * @param priority rank among the target's requests
 * @param resumeAfter the last event that the caller has
 * @param weightsVersion the version of the weights that a resumed answer began with
 */
public record ForwardingMetadata(TargetName target, Optional<Duration> timeLeft, Optional<WorkspaceName> workspace,
		int priority, Optional<String> resumeAfter, Optional<String> weightsVersion) {
}
