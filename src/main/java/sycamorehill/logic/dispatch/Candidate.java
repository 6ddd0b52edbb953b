package sycamorehill.logic.dispatch;

import java.util.Optional;

import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * A target that a request may be sent to.
 *
 * @param entry the target's directory entry; for a group, the entry of its head
 * @param slots requests that the target runs concurrently
 * @param model the group's model; empty for plain services
 * @param engines the parameters of the engines; empty for plain services
 */
record Candidate(TargetEntry entry, int slots, Optional<ModelParameters> model, Optional<EngineParameters> engines) {
}
