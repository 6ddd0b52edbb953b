package sycamorehill.process;

import java.io.IOException;
import java.time.Instant;

/**
 * What a caller of the soak got for a request.
 *
 * @param request the request
 * @param sent when it was sent
 * @param ended when the answer or the connection ended
 * @param status the status; 0 if no head came
 * @param head the head
 * @param body the body as far as it came
 * @param whole whether the answer came to its end
 * @param end how it ended
 */
record SoakAnswer(SoakRequest request, Instant sent, Instant ended, int status, String head, String body, boolean whole,
		String end) {

	private static final int STATUS_START = "HTTP/1.1 ".length();

	private static final int NO_CONTENT = 204;

	private static final String LEFT = "the caller left";

	/**
	 * Reads the answer to a request.
	 * @param request the request
	 * @param sent when it was sent
	 * @param connection the connection on which it was sent
	 * @return the answer as far as it came
	 */
	static SoakAnswer read(SoakRequest request, Instant sent, KeptConnection connection) {
		String head = "";
		StringBuffer body = new StringBuffer();
		try {
			head = connection.readHead();
			if (!request.isHead() && status(head) != NO_CONTENT) {
				connection.readBody(head, body);
			}
			return new SoakAnswer(request, sent, Instant.now(), status(head), head, body.toString(), true, "whole");
		}
		catch (IOException | NumberFormatException ex) {
			return new SoakAnswer(request, sent, Instant.now(), head.isEmpty() ? 0 : status(head), head,
					body.toString(), false, ex.toString());
		}
	}

	/**
	 * Returns what a caller got that left before the answer.
	 * @param request the request
	 * @param sent when it was sent
	 * @return no answer
	 */
	static SoakAnswer left(SoakRequest request, Instant sent) {
		return new SoakAnswer(request, sent, Instant.now(), 0, "", "", false, LEFT);
	}

	private static int status(String head) {
		return Integer.parseInt(head.substring(STATUS_START, STATUS_START + 3));
	}

	boolean hasLeft() {
		return this.end.equals(LEFT);
	}

	boolean isSuccess() {
		return this.status / 100 == 2;
	}

	/**
	 * Returns whether the status promises that the request has not run and never will.
	 * @return whether it does
	 */
	boolean isPromise() {
		return this.status == 429 || this.status == 503 || this.status == 408 || this.status == 421;
	}

	String signature() {
		return SoakRequest.header(this.head, "Server-Signature");
	}

	boolean announcesClose() {
		return SoakRequest.header(this.head, "Connection").equalsIgnoreCase("close");
	}

}
