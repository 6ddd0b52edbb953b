package sycamorehill.logic.ticket;

/**
 * The source from which a node received tickets. It determines the nodes to which they
 * are pushed.
 */
enum TicketSource {

	/** The platform. */
	PLATFORM,
	/** A delegate of the own data centre, which pushes them to the other nodes itself. */
	OWN_DELEGATE,
	/** Any other node. */
	OTHER_NODE

}
