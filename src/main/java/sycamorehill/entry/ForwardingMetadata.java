package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;

/**
 * Information that the node adds to a request when it forwards it to a target.
 *
 * @param target the intended target; any other one refuses the request
 * @param timeLeft the time until the caller stops waiting for the answer
 * @param workspace the caller's workspace
 * @param priority the priority among the requests at the target
 * @param resumeAfter the identifier of the last event that the caller received
 * @param weightsVersion the version of the weights with which a resumed answer started
 */
public record ForwardingMetadata(TargetName target, Optional<Duration> timeLeft, Optional<WorkspaceName> workspace,
		int priority, Optional<String> resumeAfter, Optional<String> weightsVersion) {
}
