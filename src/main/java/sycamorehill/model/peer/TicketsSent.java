package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.ticket.Ticket;

/**
 * Sends accepted tickets in the order of their numbers and without gaps.
 *
 * @param tickets the tickets
 */
public record TicketsSent(List<Ticket> tickets) implements PeerMessage {

	/**
	 * Copies the list.
	 */
	public TicketsSent {
		tickets = (tickets != null) ? List.copyOf(tickets) : List.of();
	}

}
