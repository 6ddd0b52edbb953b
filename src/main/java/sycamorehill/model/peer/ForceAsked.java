package sycamorehill.model.peer;

/**
 * Asks a delegate where a ticket is in force in its data centre.
 *
 * @param call the asker's number for the question
 * @param number the ticket
 */
public record ForceAsked(long call, long number) implements PeerMessage {
}
