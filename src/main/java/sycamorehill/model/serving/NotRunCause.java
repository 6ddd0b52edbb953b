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
	REFUSED

}
