package sycamorehill.http;

/**
 * A body is larger than its reader is willing to hold.
 */
public final class BodyTooLargeException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private BodyTooLargeException(String message) {
		super(message);
	}

	/**
	 * Creates the failure.
	 * @param maximumBytes the bound that was passed
	 * @return the failure
	 */
	public static BodyTooLargeException exceeding(int maximumBytes) {
		return new BodyTooLargeException("the body is larger than " + maximumBytes + " bytes");
	}

}
