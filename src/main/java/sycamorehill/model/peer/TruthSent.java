package sycamorehill.model.peer;

import sycamorehill.model.ticket.TruthSnapshot;

/**
 * The whole truth of the sender, for a node that is too far behind for single tickets.
 *
 * @param snapshot the truth
 */
public record TruthSent(TruthSnapshot snapshot) implements PeerMessage {
}
