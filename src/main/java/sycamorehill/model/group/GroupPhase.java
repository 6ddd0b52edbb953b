package sycamorehill.model.group;

/**
 * What the controller wants of a group.
 */
public enum GroupPhase {

	/** Members are ordered to join and load. */
	FORMING,

	/**
	 * Members have been seen ready; requests may be routed while they are still seen
	 * whole.
	 */
	SERVING,

	/** No new work; what runs is let finish. */
	DRAINING,

	/** The load failed; the reason stands in the record. */
	FAILED

}
