package sycamorehill.http;

/**
 * Thrown when a body or a line is larger than its reader accepts.
 */
public final class BodyTooLargeException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private BodyTooLargeException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param maximumBytes the maximum size that was exceeded
	 * @return the exception
	 */
	public static BodyTooLargeException exceeding(int maximumBytes) {
		return new BodyTooLargeException("the body is larger than " + maximumBytes + " bytes");
	}

}
