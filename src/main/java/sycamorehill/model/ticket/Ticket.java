package sycamorehill.model.ticket;

import java.time.Instant;

/**
 * An accepted ticket.
 *
 * @param number the number of the ticket; tickets are numbered from 1 without gaps
 * @param acceptedAt the wall-clock time of the accepting node, for information only
 * @param draft the ticket as filed
 */
public record Ticket(long number, Instant acceptedAt, TicketDraft draft) {

}
