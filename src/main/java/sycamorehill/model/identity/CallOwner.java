package sycamorehill.model.identity;

/**
 * The component of the reducer that made a call and receives its answer.
 */
public enum CallOwner {

	/** Synchronisation of tickets and of the desired state. */
	TICKETS,

	/** Claims of orders. */
	ORDERS,

	/** Control of model groups. */
	GROUPS,

	/** Membership of the nodes. */
	MEMBERSHIP,

	/** Observation of target VMs. */
	OBSERVATION

}
