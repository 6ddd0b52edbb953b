package sycamorehill.model.ticket;

import sycamorehill.model.platform.PlatformValue;

/**
 * A ticket as stored on the platform.
 *
 * @param ticket the ticket
 * @param writer the incarnation and call that wrote the ticket. After an answer was lost,
 * they tell whether this write or another one was stored
 * @param formatVersion the version of the format
 */
public record TicketValue(Ticket ticket, String writer, int formatVersion) implements PlatformValue {

}
