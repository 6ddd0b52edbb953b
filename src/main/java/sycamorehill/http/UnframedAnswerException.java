package sycamorehill.http;

/**
 * Thrown when only the end of its connection ends an answer, so that a part of it can't
 * be told from the whole. The server may have executed the request.
 */
public final class UnframedAnswerException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private UnframedAnswerException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param status the HTTP status of the answer
	 * @return the exception
	 */
	public static UnframedAnswerException ofStatus(int status) {
		return new UnframedAnswerException("an answer with status " + status
				+ " has neither a length nor chunks, so that it may have been cut off");
	}

}
