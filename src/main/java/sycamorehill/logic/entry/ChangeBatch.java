package sycamorehill.logic.entry;

import java.util.List;

import sycamorehill.model.serving.TargetChange;

/**
 * Holds changes of targets as read from the store.
 *
 * @param since the revision after which changes were requested
 * @param revision the revision after the changes
 * @param changes the changes in order
 */
record ChangeBatch(long since, long revision, List<TargetChange> changes) {
}
