package sycamorehill.http;

/**
 * Thrown when the head of an answer is none by RFC 9110. The server may have executed the
 * request.
 */
public final class MalformedAnswerException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private MalformedAnswerException(String message) {
		super(message);
	}

	static MalformedAnswerException ofStatus(int status) {
		return new MalformedAnswerException("an answer with the status " + status);
	}

	static MalformedAnswerException ofField(String name) {
		return new MalformedAnswerException("an answer with a field that is none: " + name);
	}

}
