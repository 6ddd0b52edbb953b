package sycamorehill.model.peer;

/**
 * Asks a node for the tickets after a number, or for its complete desired state.
 *
 * @param after the number of the last ticket that the asking node has applied, -1 if it
 * has no desired state yet
 */
public record TicketsAsked(long after) implements PeerMessage {
}
