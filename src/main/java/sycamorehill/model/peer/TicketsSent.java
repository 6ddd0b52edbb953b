package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.ticket.Ticket;

/**
 * Accepted tickets, by number and without gaps.
 *
 * @param tickets the tickets
 */
public record TicketsSent(List<Ticket> tickets) implements PeerMessage {

	/**
	 * Takes a copy of the list.
	 */
	public TicketsSent {
		tickets = (tickets != null) ? List.copyOf(tickets) : List.of();
	}

}
