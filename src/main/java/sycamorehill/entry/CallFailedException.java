package sycamorehill.entry;

/**
 * Thrown when a call that the node makes itself gets no answer.
 */
public final class CallFailedException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Cause cause;

	private CallFailedException(Cause cause, String detail) {
		super(cause + ": " + detail);
		this.cause = cause;
	}

	static CallFailedException of(Cause cause, String detail) {
		return new CallFailedException(cause, detail);
	}

	/**
	 * Returns why there is no answer.
	 * @return the cause
	 */
	public Cause failureCause() {
		return this.cause;
	}

	/**
	 * Lists the reasons for a missing answer.
	 */
	public enum Cause {

		/** The connection was refused: no process listens at the address. */
		NOTHING_LISTENS,

		/** No connection was established within the timeout: nothing was sent. */
		NOT_CONNECTED,

		/** The call was sent; the server may have executed it. */
		NO_ANSWER

	}

}
