package sycamorehill.process;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

import sycamorehill.model.identity.Address;

/**
 * A caller's connection that is kept between requests, byte by byte: a client library
 * might send a request again, and hide that its answer broke off.
 */
final class KeptConnection implements AutoCloseable {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(20);

	private final Socket socket;

	private final InputStream input;

	private KeptConnection(Socket socket) throws IOException {
		this.socket = socket;
		this.input = socket.getInputStream();
	}

	static KeptConnection open(Address address) throws IOException {
		Socket socket = new Socket(address.host(), address.port());
		socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
		return new KeptConnection(socket);
	}

	void send(String request) throws IOException {
		this.socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Reads a whole answer.
	 * @param received receives the body as far as it has come
	 * @return the head
	 * @throws IOException if the answer breaks off
	 */
	String readAnswer(StringBuffer received) throws IOException {
		String head = readHead();
		readBody(head, received);
		return head;
	}

	/**
	 * Reads the body of an answer.
	 * @param head the head of the answer
	 * @param received receives the body as far as it has come
	 * @throws IOException if the answer breaks off
	 */
	void readBody(String head, StringBuffer received) throws IOException {
		int length = head.toLowerCase(Locale.ROOT).indexOf("content-length:");
		if (length >= 0) {
			int end = head.indexOf("\r\n", length);
			received.append(readBytes(Integer.parseInt(head.substring(length + 15, end).trim())));
			return;
		}
		int chunk = Integer.parseInt(readUntil("\r\n").trim(), 16);
		while (chunk > 0) {
			received.append(readBytes(chunk));
			readUntil("\r\n");
			chunk = Integer.parseInt(readUntil("\r\n").trim(), 16);
		}
		readUntil("\r\n");
	}

	/**
	 * Returns whether bytes have arrived that are not read yet.
	 * @return whether there are any
	 * @throws IOException if the connection is closed
	 */
	boolean hasBytes() throws IOException {
		return this.input.available() > 0;
	}

	String readHead() throws IOException {
		return readUntil("\r\n\r\n");
	}

	private String readUntil(String end) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf(end) < 0) {
			text.append(readBytes(1));
		}
		return text.toString();
	}

	private String readBytes(int count) throws IOException {
		byte[] bytes = this.input.readNBytes(count);
		if (bytes.length < count) {
			throw new EOFException("the answer broke off");
		}
		return new String(bytes, StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
