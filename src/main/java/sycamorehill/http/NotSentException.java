package sycamorehill.http;

/**
 * No byte of a request was handed to its receiver, so that it certainly did not run.
 */
public final class NotSentException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private NotSentException(String message, Throwable cause) {
		super(message, cause);
	}

	/**
	 * Creates the failure.
	 * @param cause what kept the request from being sent
	 * @return the failure
	 */
	public static NotSentException of(Throwable cause) {
		return new NotSentException(String.valueOf(cause.getMessage()), cause);
	}

}
