package sycamorehill.model.serving;

/**
 * Reason why a target certainly did not run a request.
 */
public enum NotRunCause {

	/** No connection was established. */
	NOT_CONNECTED,

	/** The request's time was over before a byte of it was written. */
	EXPIRED,

	/** Another target now uses the address, or the engine isn't the head of a group. */
	WRONG_TARGET,

	/**
	 * The target answered that it did not run the request because it is full or closing.
	 */
	REFUSED,

	/** Another node admits the request to none of its targets. */
	NO_TARGET,

	/**
	 * Another node can't be reached, or accepts no requests of other nodes now. A third
	 * node may accept the request.
	 */
	NODE_UNAVAILABLE

}
