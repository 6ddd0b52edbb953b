package sycamorehill.model.peer;

import sycamorehill.model.ticket.DataCentreRollout;

/**
 * Where a ticket is in force in one data centre.
 *
 * @param call the asker's number for the question
 * @param force what the delegate knows
 */
public record ForceSent(long call, DataCentreRollout force) implements PeerMessage {
}
