package sycamorehill.model.peer;

import sycamorehill.model.ticket.DesiredStateSnapshot;

/**
 * The whole truth of the sender, for a node that is too far behind for single tickets.
 *
 * @param snapshot the truth
 */
public record TruthSent(DesiredStateSnapshot snapshot) implements PeerMessage {
}
