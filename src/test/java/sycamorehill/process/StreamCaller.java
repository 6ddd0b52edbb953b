package sycamorehill.process;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import sycamorehill.model.identity.Address;

/**
 * Caller that sends one request after another on a connection that it keeps.
 */
final class StreamCaller implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 15_000;

	private final Socket socket;

	private final InputStream input;

	private boolean closeAnnounced;

	private StreamCaller(Socket socket) throws IOException {
		this.socket = socket;
		this.input = new BufferedInputStream(socket.getInputStream());
	}

	static StreamCaller connect(Address node) throws IOException {
		Socket socket = new Socket(node.host(), node.port());
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		return new StreamCaller(socket);
	}

	/**
	 * Sends a request and reads its answer.
	 * @param events the number of events that it asks for
	 * @return the answer as far as it came
	 */
	StreamAnswer call(int events) {
		String identifier = UUID.randomUUID().toString();
		List<String> received = new ArrayList<>();
		int status = 0;
		try {
			this.socket.getOutputStream()
				.write(("POST /streams/" + events + " HTTP/1.1\r\nHost: streams.example\r\nAttempt-Id: " + identifier
						+ "\r\nDeadline-Ms: 14000\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			List<String> head = readHead();
			if (head.isEmpty()) {
				return new StreamAnswer(identifier, 0, 0, false, "closed before an answer");
			}
			status = Integer.parseInt(head.get(0).split(" ")[1]);
			this.closeAnnounced = head.stream().anyMatch("connection: close"::equalsIgnoreCase);
			boolean whole = head.stream().anyMatch("transfer-encoding: chunked"::equalsIgnoreCase)
					? readChunks(received) : readBody(head);
			long numbered = received.stream().filter((line) -> line.startsWith("id: ")).count();
			return new StreamAnswer(identifier, status, (int) numbered, whole, whole ? "whole" : "closed within");
		}
		catch (IOException ex) {
			return new StreamAnswer(identifier, status, received.size(), false, ex.toString());
		}
	}

	/**
	 * Returns whether the last answer announced that its connection closes.
	 * @return true if no further request may be sent
	 */
	boolean isCloseAnnounced() {
		return this.closeAnnounced;
	}

	private List<String> readHead() throws IOException {
		List<String> head = new ArrayList<>();
		String line = readLine();
		while (line != null && !line.isEmpty()) {
			head.add(line);
			line = readLine();
		}
		return head;
	}

	private boolean readChunks(List<String> received) throws IOException {
		StringBuilder text = new StringBuilder();
		while (true) {
			String size = readLine();
			if (size == null) {
				return false;
			}
			int length = Integer.parseInt(size.trim(), 16);
			byte[] chunk = this.input.readNBytes(length);
			if (chunk.length < length || readLine() == null) {
				return false;
			}
			text.append(new String(chunk, StandardCharsets.US_ASCII));
			if (length == 0) {
				received.addAll(text.toString().lines().toList());
				return true;
			}
		}
	}

	private boolean readBody(List<String> head) throws IOException {
		int length = head.stream()
			.filter((line) -> line.toLowerCase().startsWith("content-length: "))
			.map((line) -> Integer.parseInt(line.substring(16).trim()))
			.findFirst()
			.orElse(0);
		return this.input.readNBytes(length).length == length;
	}

	private String readLine() throws IOException {
		StringBuilder line = new StringBuilder();
		int next = this.input.read();
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.append((char) next);
			}
			next = this.input.read();
		}
		return (next < 0) ? null : line.toString();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
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
