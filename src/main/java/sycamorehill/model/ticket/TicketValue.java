package sycamorehill.model.ticket;

import sycamorehill.model.platform.PlatformValue;

/**
 * A ticket as the platform keeps it.
 *
 * @param ticket the ticket
 * @param writer the incarnation and call that wrote it: tells a lost answer from a lost
 * race
 * @param formatVersion version of the format
 */
public record TicketValue(Ticket ticket, String writer, int formatVersion) implements PlatformValue {

}
