package sycamorehill.model.group;

/**
 * The phase of a group as the controller has set it.
 */
public enum GroupPhase {

	/** The members receive commands to join the group and load the model. */
	FORMING,

	/**
	 * All members have been observed ready. Requests may be routed to the group while
	 * recent observations still show every member ready.
	 */
	SERVING,

	/** The group receives no further requests; running requests may finish. */
	DRAINING,

	/** The load failed; the group record holds the reason. */
	FAILED

}
