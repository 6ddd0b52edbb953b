package sycamorehill.logic.group;

import java.time.Instant;

import sycamorehill.model.group.EngineCommand;

/**
 * Records the last command sent to an engine.
 *
 * @param call the number of the call
 * @param order the command
 * @param sentAt the node's monotonic time at which the command was sent
 * @param tries the number of times the same command had been sent before
 * @param notBefore the earliest time at which the same command may be sent again
 */
public record LastEngineCommand(long call, EngineCommand order, Instant sentAt, int tries, Instant notBefore) {

}
