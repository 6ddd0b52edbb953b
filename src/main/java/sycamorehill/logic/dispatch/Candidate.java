package sycamorehill.logic.dispatch;

import java.util.Optional;

import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * A target that a request may be sent to.
 *
 * @param entry the target; of a group, its head
 * @param slots requests that it runs at once
 * @param model the group's model; empty for plain services
 * @param engines what the engines do; empty for plain services
 */
record Candidate(TargetEntry entry, int slots, Optional<ModelFigures> model, Optional<EngineFigures> engines) {
}
