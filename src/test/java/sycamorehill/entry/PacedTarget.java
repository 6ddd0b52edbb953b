package sycamorehill.entry;

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
 * Target that streams events at a steady pace and counts its connections.
 */
final class PacedTarget implements AutoCloseable {

	private final ServerSocket server;

	private final int events;

	private final long intervalMillis;

	private final AtomicInteger connections = new AtomicInteger();

	private PacedTarget(ServerSocket server, int events, long intervalMillis) {
		this.server = server;
		this.events = events;
		this.intervalMillis = intervalMillis;
	}

	static PacedTarget start(int events, long intervalMillis) throws IOException {
		PacedTarget target = new PacedTarget(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")), events,
				intervalMillis);
		startThread(target::accept);
		return target;
	}

	private static void startThread(Runnable work) {
		Thread thread = new Thread(work, "paced-target");
		thread.setDaemon(true);
		thread.start();
	}

	Address address() {
		return Address.of("127.0.0.1", this.server.getLocalPort());
	}

	int connections() {
		return this.connections.get();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.connections.incrementAndGet();
				startThread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			String request = readHead(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
					+ "\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int number = 1; number <= this.events; number++) {
				String event = "id: " + number + "\ndata: e" + number + "\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				out.flush();
				Thread.sleep(this.intervalMillis);
			}
			out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			socket.getInputStream().readAllBytes();
		}
		catch (IOException | InterruptedException ex) {
			// The node closed the connection.
		}
	}

	private static String readHead(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				throw new IOException("closed");
			}
			text.append((char) next);
		}
		return text.toString();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
