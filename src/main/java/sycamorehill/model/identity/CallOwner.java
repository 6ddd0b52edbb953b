package sycamorehill.model.identity;

/**
 * The part of the reducer that made a call, and to which its answer goes.
 */
public enum CallOwner {

	/** Ticket log and truth. */
	TICKETS,

	/** Claims of orders. */
	ORDERS,

	/** Group control. */
	GROUPS,

	/** Nodes of ours. */
	MEMBERSHIP,

	/** Sight of target VMs. */
	OBSERVATION

}
