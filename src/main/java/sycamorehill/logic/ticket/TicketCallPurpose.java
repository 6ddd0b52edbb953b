package sycamorehill.logic.ticket;

/**
 * The purpose of a platform call of the ticket reducer.
 */
public enum TicketCallPurpose {

	/** Reads the snapshot as a step of a synchronisation. */
	READ_SNAPSHOT,
	/** Lists tickets as a step of a synchronisation. */
	LIST_TICKETS,
	/** Watches for new tickets. */
	WATCH_TICKETS,
	/** Creates the ticket of the first filing in the queue. */
	CREATE_TICKET,
	/** Reads the snapshot before it is replaced. */
	READ_OLD_SNAPSHOT,
	/** Creates or replaces the snapshot. */
	WRITE_SNAPSHOT,
	/** Lists tickets that may be deleted. */
	LIST_OLD_TICKETS,
	/** Deletes a ticket. */
	DELETE_TICKET

}
