package sycamorehill.model.peer;

/**
 * Asks a node for the tickets behind a number, or for its whole truth.
 *
 * @param after the asker's last ticket, -1 if it has no truth yet
 */
public record TicketsAsked(long after) implements PeerMessage {
}
