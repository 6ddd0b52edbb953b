package sycamorehill.model.peer;

/**
 * A sign of life between nodes.
 *
 * @param stopping whether the sender has begun to stop: it takes no new duties
 * @param ticketNumber the last ticket that the sender has in force
 */
public record Heartbeat(boolean stopping, long ticketNumber) implements PeerMessage {
}
