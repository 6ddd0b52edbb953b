package sycamorehill.logic.ticket;

/**
 * What a platform call of the part was made for.
 */
public enum TicketCallPurpose {

	/** Reads the snapshot as a step of a synchronisation. */
	READ_SNAPSHOT,
	/** Lists tickets as a step of a synchronisation. */
	LIST_TICKETS,
	/** Waits for a new ticket. */
	WATCH_TICKETS,
	/** Creates the ticket of the first filing in the queue. */
	CREATE_TICKET,
	/** Reads the snapshot before it is renewed. */
	READ_OLD_SNAPSHOT,
	/** Creates or replaces the snapshot. */
	WRITE_SNAPSHOT,
	/** Lists tickets that may be deleted. */
	LIST_OLD_TICKETS,
	/** Deletes a ticket. */
	DELETE_TICKET

}
