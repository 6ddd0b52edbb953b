package sycamorehill.model.request;

/**
 * The priority that the caller requests.
 */
public enum Priority {

	/** Served before requests of other priorities. */
	HIGH,

	/** The default. */
	NORMAL,

	/** Served when capacity is left. */
	LOW

}
