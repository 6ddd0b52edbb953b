package sycamorehill.logic.ticket;

/**
 * State of the part: filing, folding and spreading of tickets.
 */
public record TicketState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static TicketState initial() {
		return new TicketState();
	}

}
