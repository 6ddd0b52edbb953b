package sycamorehill.logic.ticket;

/**
 * Where a node has learnt tickets from. It decides who has to be told.
 */
enum TicketSource {

	/** The platform. */
	PLATFORM,
	/** A delegate of the own data centre: it tells the others itself. */
	OWN_DELEGATE,
	/** Any other node. */
	OTHER_NODE

}
