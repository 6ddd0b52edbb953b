package sycamorehill.model.serving;

/**
 * Why a target certainly did not run a request.
 */
public enum NotRunCause {

	/** No connection came about, or no byte of the request was written. */
	NOT_SENT,

	/** Another target has the address now, or the engine is no head of a group. */
	WRONG_TARGET,

	/** The target said that it did not run the request: it is full or closing. */
	REFUSED

}
