package sycamorehill.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import sycamorehill.model.identity.Address;

/**
 * Target that answers each request with a stream of events. Query {@code n} gives their
 * number, {@code b} their bytes and {@code p} the milliseconds between them.
 */
final class StormTarget implements AutoCloseable {

	private final ServerSocket server;

	private final AtomicInteger requests = new AtomicInteger();

	private final PacedWrites pacedWrites = new PacedWrites();

	private StormTarget(ServerSocket server) {
		this.server = server;
	}

	static StormTarget start() throws IOException {
		StormTarget target = new StormTarget(new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1")));
		startThread(target::accept);
		return target;
	}

	private static void startThread(Runnable work) {
		Thread thread = new Thread(null, work, "storm-target", 128 * 1024);
		thread.setDaemon(true);
		thread.start();
	}

	Address address() {
		return Address.of("127.0.0.1", this.server.getLocalPort());
	}

	int requests() {
		return this.requests.get();
	}

	/**
	 * Returns the longest time without an event while streams with pauses were open, so
	 * that a silence that a node reports can be told from one of this target.
	 * @return the time, in milliseconds
	 */
	long longestSilenceMillis() {
		return this.pacedWrites.longestSilenceMillis();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				startThread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = socket.getInputStream();
			for (String head = readHead(in); head != null; head = readHead(in)) {
				this.requests.incrementAndGet();
				in.readNBytes(number(head, "(?i)content-length: ", 0));
				answer(head, socket.getOutputStream());
			}
		}
		catch (IOException | InterruptedException ex) {
			// The node closed the connection.
		}
	}

	private void answer(String head, OutputStream out) throws IOException, InterruptedException {
		String identifier = head.replaceAll("(?is).*attempt-id: ([^\r]+).*", "$1");
		out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + identifier
				+ "\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		int events = number(head, "[?&]n=", 1);
		int bytes = number(head, "[?&]b=", 40);
		int pause = number(head, "[?&]p=", 0);
		if (pause > 0) {
			this.pacedWrites.begin();
		}
		try {
			for (int event = 1; event <= events; event++) {
				String text = "id: " + event + "\ndata: " + "x".repeat(bytes) + "\n\n";
				out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				out.flush();
				if (pause > 0) {
					this.pacedWrites.record();
				}
				Thread.sleep(pause);
			}
		}
		finally {
			if (pause > 0) {
				this.pacedWrites.end();
			}
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static int number(String head, String name, int otherwise) {
		String[] parts = head.split(name, 2);
		return (parts.length < 2) ? otherwise : Integer.parseInt(parts[1].replaceAll("(?s)^(\\d+).*", "$1"));
	}

	private static String readHead(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			text.append((char) next);
		}
		return text.toString();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	private static final class PacedWrites {

		private int openStreams;

		private long lastNanos;

		private long longestNanos;

		private synchronized void begin() {
			if (this.openStreams == 0) {
				this.lastNanos = System.nanoTime();
			}
			this.openStreams++;
		}

		private synchronized void record() {
			long now = System.nanoTime();
			this.longestNanos = Math.max(this.longestNanos, now - this.lastNanos);
			this.lastNanos = now;
		}

		private synchronized void end() {
			this.openStreams--;
		}

		private synchronized long longestSilenceMillis() {
			return this.longestNanos / 1_000_000;
		}

	}

}
