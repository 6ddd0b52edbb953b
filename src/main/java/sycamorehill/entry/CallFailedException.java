package sycamorehill.entry;

/**
 * A call of our own got no answer.
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
	 * Why there is no answer.
	 * @return the cause
	 */
	public Cause failureCause() {
		return this.cause;
	}

	/**
	 * Why there is no answer.
	 */
	public enum Cause {

		/** The connection was refused: nothing listens there. */
		NOTHING_LISTENS,

		/** No connection came about in time: nothing was sent. */
		NOT_CONNECTED,

		/** The call was sent; it may have been carried out. */
		NO_ANSWER

	}

}
