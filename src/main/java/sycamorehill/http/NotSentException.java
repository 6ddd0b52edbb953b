package sycamorehill.http;

/**
 * Thrown when no byte of a request was sent, so that the server certainly didn't execute
 * it.
 */
public final class NotSentException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private NotSentException(String message, Throwable cause) {
		super(message, cause);
	}

	/**
	 * Creates the exception.
	 * @param cause the failure that prevented the request from being sent
	 * @return the exception
	 */
	public static NotSentException of(Throwable cause) {
		return new NotSentException(String.valueOf(cause.getMessage()), cause);
	}

}
