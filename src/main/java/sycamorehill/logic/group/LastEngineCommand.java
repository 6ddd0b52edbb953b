package sycamorehill.logic.group;

import java.time.Instant;

import sycamorehill.model.group.EngineOrder;

/**
 * The last order to one engine.
 *
 * @param call the number of the call
 * @param order the order
 * @param sentAt own monotonic time of sending
 * @param tries how often the same order was given
 * @param notBefore when it may be given again
 */
public record LastEngineCommand(long call, EngineOrder order, Instant sentAt, int tries, Instant notBefore) {

}
