package sycamorehill.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import sycamorehill.model.identity.Address;

/**
 * Callers with one stream after another on kept connections, and callers that don't read
 * their answers or don't end their bodies.
 */
final class StormCallers implements AutoCloseable {

	private static final String END_OF_STREAM = "\r\n0\r\n\r\n";

	private final Address node;

	private final List<Thread> threads = new ArrayList<>();

	private final List<Socket> stuck = new ArrayList<>();

	private final AtomicBoolean ended = new AtomicBoolean();

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger cut = new AtomicInteger();

	private StormCallers(Address node) {
		this.node = node;
	}

	static StormCallers of(Address node) {
		return new StormCallers(node);
	}

	/**
	 * Starts callers that read.
	 * @param callers number of callers
	 * @param events events of each stream
	 * @param pauseMillis milliseconds between two events
	 */
	void startStreams(int callers, int events, int pauseMillis) {
		for (int number = 0; number < callers; number++) {
			String path = "/stream/x?n=" + events + "&p=" + pauseMillis;
			Thread thread = new Thread(null, () -> run(path), "storm-caller", 128 * 1024);
			thread.setDaemon(true);
			thread.start();
			this.threads.add(thread);
		}
	}

	private void run(String path) {
		while (!this.ended.get()) {
			try (Socket socket = connect(0)) {
				while (!this.ended.get()) {
					send(socket, "GET", path, "", 0);
					count(readAnswer(socket.getInputStream()));
				}
			}
			catch (IOException ex) {
				this.cut.incrementAndGet();
			}
		}
	}

	private void count(String answer) throws IOException {
		if (answer.startsWith("HTTP/1.1 200") && answer.endsWith(END_OF_STREAM)) {
			this.whole.incrementAndGet();
		}
		else if (answer.startsWith("HTTP/1.1 503")) {
			this.refused.incrementAndGet();
		}
		else {
			throw new IOException("cut after " + answer.length() + " bytes");
		}
	}

	private static String readAnswer(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		byte[] bytes = new byte[8192];
		while (text.indexOf(END_OF_STREAM, Math.max(0, text.length() - 8200)) < 0) {
			int read = in.read(bytes);
			if (read < 0) {
				return text.toString();
			}
			text.append(new String(bytes, 0, read, StandardCharsets.ISO_8859_1));
			if (text.length() > 12 && text.charAt(9) == '5' && text.indexOf("\r\n\r\n") > 0) {
				return text.toString();
			}
		}
		return text.toString();
	}

	private Socket connect(int receiveBuffer) throws IOException {
		Socket socket = new Socket();
		if (receiveBuffer > 0) {
			socket.setReceiveBufferSize(receiveBuffer);
		}
		socket.connect(new InetSocketAddress(this.node.host(), this.node.port()), 5000);
		socket.setSoTimeout(30_000);
		return socket;
	}

	private static void send(Socket socket, String method, String path, String body, int length) throws IOException {
		String lengthField = (length > 0) ? "Content-Length: " + length + "\r\n" : "";
		socket.getOutputStream()
			.write((method + ' ' + path + " HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: a"
					+ Long.toHexString(System.nanoTime()) + "\r\nAuthorization: Token key\r\nDeadline-Ms: 60000\r\n"
					+ lengthField + "\r\n" + body)
				.getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Starts callers that request a large stream and never read it.
	 * @param callers number of callers
	 * @param eventBytes size of each of 200 events
	 */
	void startUnread(int callers, int eventBytes) throws IOException {
		for (int number = 0; number < callers; number++) {
			Socket socket = connect(4096);
			this.stuck.add(socket);
			send(socket, "GET", "/stream/x?n=200&b=" + eventBytes, "", 0);
		}
	}

	/**
	 * Starts callers that send a body without its last byte.
	 * @param callers number of callers
	 * @param bodyBytes length of the body
	 * @return how many could send their part
	 */
	int startBodies(int callers, int bodyBytes) {
		int sent = 0;
		for (int number = 0; number < callers; number++) {
			try {
				Socket socket = connect(0);
				this.stuck.add(socket);
				send(socket, "POST", "/plain/x", "x".repeat(bodyBytes - 1), bodyBytes);
				sent++;
			}
			catch (IOException ex) {
				// The node has closed the connection; the caller gives up.
				continue;
			}
		}
		return sent;
	}

	int whole() {
		return this.whole.get();
	}

	int cut() {
		return this.cut.get();
	}

	String summary() {
		return this.whole + " streams whole, " + this.cut + " cut, " + this.refused + " refused";
	}

	@Override
	public void close() throws IOException {
		this.ended.set(true);
		for (Socket socket : this.stuck) {
			socket.close();
		}
	}

}
