package sycamorehill.model.peer;

import sycamorehill.model.ticket.DataCentreRollout;

/**
 * Answers {@link ForceAsked} with the rollout status of a ticket in one data centre.
 *
 * @param call the number of the question, assigned by the asking node
 * @param force the rollout status as the delegate knows it
 */
public record ForceSent(long call, DataCentreRollout force) implements PeerMessage {
}
