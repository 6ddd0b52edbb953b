package sycamorehill.model.peer;

import sycamorehill.model.ticket.DesiredStateSnapshot;

/**
 * Sends the complete desired state of the sender to a node that lags too far behind to
 * apply single tickets.
 *
 * @param snapshot the desired state
 */
public record TruthSent(DesiredStateSnapshot snapshot) implements PeerMessage {
}
