package sycamorehill.model.request;

/**
 * Urgency that the caller gives.
 */
public enum Priority {

	/** Served before the others. */
	HIGH,

	/** The usual. */
	NORMAL,

	/** Served when there is room. */
	LOW

}
