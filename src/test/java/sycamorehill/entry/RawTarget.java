package sycamorehill.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;

import sycamorehill.model.identity.Address;

/**
 * A target that answers with whatever bytes a test wants, and keeps what it was sent.
 */
final class RawTarget implements AutoCloseable {

	private final ServerSocket server;

	private final UnaryOperator<String> answers;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private RawTarget(ServerSocket server, UnaryOperator<String> answers) {
		this.server = server;
		this.answers = answers;
	}

	/**
	 * Starts a target.
	 * @param answers makes the bytes of an answer from a request; an empty text closes
	 * the connection, and a text that ends with the zero character closes it after the
	 * bytes
	 * @return the target
	 * @throws IOException if no port is free
	 */
	static RawTarget start(UnaryOperator<String> answers) throws IOException {
		RawTarget target = new RawTarget(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")), answers);
		Thread thread = new Thread(target::accept, "raw-target");
		thread.setDaemon(true);
		thread.start();
		return target;
	}

	Address address() {
		return Address.of("127.0.0.1", this.server.getLocalPort());
	}

	List<String> requests() {
		return this.requests;
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				Thread thread = new Thread(() -> serve(socket), "raw-target-connection");
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = socket.getInputStream();
			String request = readRequest(in);
			while (request != null) {
				this.requests.add(request);
				String answer = this.answers.apply(request);
				boolean close = answer.isEmpty() || answer.endsWith("\0");
				socket.getOutputStream().write(answer.replace("\0", "").getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().flush();
				if (close) {
					return;
				}
				request = readRequest(in);
			}
		}
		catch (IOException ex) {
			// The node closed the connection: what it was sent is kept, nothing more is
			// due.
			this.requests.add("closed");
		}
	}

	private static String readRequest(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			text.append((char) next);
		}
		int length = text.toString().toLowerCase().indexOf("content-length: ");
		int bodyLength = (length < 0) ? 0
				: Integer.parseInt(text.substring(length + 16, text.indexOf("\r\n", length)).trim());
		for (int index = 0; index < bodyLength; index++) {
			text.append((char) in.read());
		}
		return text.toString();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
