package sycamorehill.entry;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Connection of a caller that sends one request after another.
 */
final class KeptConnection implements AutoCloseable {

	private static final int MAXIMUM_WAIT_MILLIS = 5000;

	private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

	private final Socket socket;

	private KeptConnection(Socket socket) {
		this.socket = socket;
	}

	static KeptConnection open(int port) throws IOException {
		Socket socket = new Socket("127.0.0.1", port);
		socket.setSoTimeout(MAXIMUM_WAIT_MILLIS);
		return new KeptConnection(socket);
	}

	void send(String path, String identifier) throws IOException {
		send(path, identifier, "abc");
	}

	void send(String path, String identifier, String body) throws IOException {
		send("POST", path, identifier, body);
	}

	void send(String method, String path, String identifier, String body) throws IOException {
		String model = path.startsWith("/s") ? "Model: small\r\n" : "";
		this.socket.getOutputStream()
			.write((method + " " + path + " HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: " + identifier
					+ "\r\nAuthorization: Token key\r\nDeadline-Ms: 4000\r\n" + model + "Content-Length: "
					+ body.length() + "\r\n\r\n" + body)
				.getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Reads an answer.
	 * @return the answer, which is not whole if the connection ended or nothing came for
	 * too long
	 */
	Answer read() {
		StringBuilder head = new StringBuilder();
		StringBuilder body = new StringBuilder();
		try {
			InputStream in = this.socket.getInputStream();
			readLines(in, head);
			Matcher length = LENGTH.matcher(head);
			if (hasNoBody(head)) {
				return new Answer(head.toString(), "", true);
			}
			if (length.find()) {
				read(in, Integer.parseInt(length.group(1)), body);
			}
			else {
				readChunks(in, body);
			}
			return new Answer(head.toString(), body.toString(), true);
		}
		catch (IOException ex) {
			return new Answer(head.toString(), body.toString(), false);
		}
	}

	private static boolean hasNoBody(StringBuilder head) {
		return head.indexOf("HTTP/1.1 204") == 0 || head.indexOf("HTTP/1.1 304") == 0;
	}

	private static void readLines(InputStream in, StringBuilder head) throws IOException {
		while (!head.toString().endsWith("\r\n\r\n")) {
			read(in, 1, head);
		}
	}

	private static void readChunks(InputStream in, StringBuilder body) throws IOException {
		int length = readChunkLength(in);
		while (length > 0) {
			read(in, length, body);
			read(in, 2, new StringBuilder());
			length = readChunkLength(in);
		}
		read(in, 2, new StringBuilder());
	}

	private static int readChunkLength(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		while (!line.toString().endsWith("\r\n")) {
			read(in, 1, line);
		}
		return Integer.parseInt(line.toString().trim(), 16);
	}

	private static void read(InputStream in, int length, StringBuilder text) throws IOException {
		for (int index = 0; index < length; index++) {
			int next = in.read();
			if (next < 0) {
				throw new EOFException();
			}
			text.append((char) next);
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/**
	 * An answer as the caller received it.
	 *
	 * @param head the head
	 * @param body the body
	 * @param whole whether it came to its end
	 */
	record Answer(String head, String body, boolean whole) {

		boolean hasStatus(int status) {
			return this.head.startsWith("HTTP/1.1 " + status);
		}

	}

}
