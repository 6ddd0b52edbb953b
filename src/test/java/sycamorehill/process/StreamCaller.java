package sycamorehill.process;

import java.io.IOException;
import java.util.Locale;
import java.util.UUID;

import sycamorehill.model.identity.Address;

/**
 * Caller that sends one request after another on a connection that it keeps.
 */
final class StreamCaller implements AutoCloseable {

	private static final String STATUS_START = "HTTP/1.1 ";

	private final KeptConnection connection;

	private boolean closeAnnounced;

	private StreamCaller(KeptConnection connection) {
		this.connection = connection;
	}

	static StreamCaller connect(Address node) throws IOException {
		return new StreamCaller(KeptConnection.open(node));
	}

	/**
	 * Returns a request.
	 * @param identifier its identifier
	 * @param events the number of events that it asks for
	 * @return the bytes of the request
	 */
	static String request(String identifier, int events) {
		return "POST /streams/" + events + " HTTP/1.1\r\nHost: streams.example\r\nAttempt-Id: " + identifier
				+ "\r\nDeadline-Ms: 14000\r\nContent-Length: 0\r\n\r\n";
	}

	/**
	 * Sends a request and reads its answer.
	 * @param events the number of events that it asks for
	 * @return the answer as far as it came
	 */
	StreamAnswer call(int events) {
		String identifier = UUID.randomUUID().toString();
		StringBuffer head = new StringBuffer();
		StringBuffer body = new StringBuffer();
		try {
			this.connection.send(request(identifier, events));
			head.append(this.connection.readHead());
			this.closeAnnounced = head.toString().toLowerCase(Locale.ROOT).contains("connection: close");
			this.connection.readBody(head.toString(), body);
			return new StreamAnswer(identifier, status(head), count(body), true, "whole");
		}
		catch (IOException ex) {
			return new StreamAnswer(identifier, status(head), count(body), false, ex.toString());
		}
	}

	private static int status(StringBuffer head) {
		return head.isEmpty() ? 0 : Integer.parseInt(head.substring(STATUS_START.length(), STATUS_START.length() + 3));
	}

	private static int count(StringBuffer body) {
		return (int) body.toString().lines().filter((line) -> line.startsWith("id: ")).count();
	}

	/**
	 * Returns whether the last answer announced that its connection closes.
	 * @return true if no further request may be sent
	 */
	boolean isCloseAnnounced() {
		return this.closeAnnounced;
	}

	@Override
	public void close() throws IOException {
		this.connection.close();
	}

	/**
	 * Answer to a request, as far as it came.
	 *
	 * @param identifier the request's identifier
	 * @param status the HTTP status; 0 if no head came
	 * @param events the number of events received
	 * @param whole whether the answer came to its end
	 * @param end how it ended
	 */
	record StreamAnswer(String identifier, int status, int events, boolean whole, String end) {
	}

}
