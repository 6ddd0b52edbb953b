package sycamorehill.model.ticket;

import java.time.Instant;

/**
 * An accepted ticket.
 *
 * @param number its number; tickets are numbered 1, 2, 3 and so on without gaps
 * @param acceptedAt wall clock of the accepting node, for readers only
 * @param draft what was filed
 */
public record Ticket(long number, Instant acceptedAt, TicketDraft draft) {

}
