package sycamorehill.model.peer;

/**
 * Asks a delegate for the rollout status of a ticket in its data centre.
 *
 * @param call the number of the question, assigned by the asking node
 * @param number the number of the ticket
 */
public record ForceAsked(long call, long number) implements PeerMessage {
}
