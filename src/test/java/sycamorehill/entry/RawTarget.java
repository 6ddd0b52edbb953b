package sycamorehill.entry;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;

import sycamorehill.model.identity.Address;

/**
 * Target that answers with the bytes that a test supplies and records the requests.
 */
final class RawTarget implements AutoCloseable {

	private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

	private final ServerSocket server;

	private final Responder responder;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private RawTarget(ServerSocket server, Responder responder) {
		this.server = server;
		this.responder = responder;
	}

	/**
	 * Starts a target.
	 * @param answers returns the bytes of the answer to a request; an empty text closes
	 * the connection, and a text that ends with the zero character closes it after the
	 * bytes
	 * @return the target
	 * @throws IOException if no port is free
	 */
	static RawTarget start(UnaryOperator<String> answers) throws IOException {
		return start(responder(answers));
	}

	/**
	 * Starts a target that may write an answer in parts.
	 * @param responder answers the requests
	 * @return the target
	 * @throws IOException if no port is free
	 */
	static RawTarget start(Responder responder) throws IOException {
		RawTarget target = new RawTarget(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")), responder);
		Thread thread = new Thread(target::accept, "raw-target");
		thread.setDaemon(true);
		thread.start();
		return target;
	}

	/**
	 * Creates a responder that writes each answer at once.
	 * @param answers returns the bytes of the answer to a request, as in {@link #start}
	 * @return the responder
	 */
	static Responder responder(UnaryOperator<String> answers) {
		return (request, out) -> {
			String answer = answers.apply(request);
			out.write(answer.replace("\0", "").getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			return !answer.isEmpty() && !answer.endsWith("\0");
		};
	}

	/**
	 * Creates a responder that also answers the question which process of a target runs.
	 * @param responder answers the other requests
	 * @param startMillis start time of the process
	 * @return the responder
	 */
	static Responder withReports(Responder responder, long startMillis) {
		String report = "{\"born\":" + startMillis + "}";
		byte[] answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report)
			.getBytes(StandardCharsets.ISO_8859_1);
		return (request, out) -> {
			if (!isQuestion(request)) {
				return responder.respond(request, out);
			}
			out.write(answer);
			return true;
		};
	}

	/**
	 * Returns whether a request asks which process of a target runs.
	 * @param request the request
	 * @return whether it does
	 */
	static boolean isQuestion(String request) {
		return request.startsWith("GET /-/report ");
	}

	/**
	 * Writes a part of an answer.
	 * @param out the connection
	 * @param text the part, of one byte for each character
	 * @throws IOException if the node closed the connection
	 */
	static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/**
	 * Waits between two parts of an answer.
	 * @param millis the time in milliseconds
	 */
	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
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
			OutputStream out = new ConnectionOutput(socket);
			String request = readRequest(in);
			while (request != null) {
				this.requests.add(request);
				if (!this.responder.respond(request, out)) {
					return;
				}
				request = readRequest(in);
			}
		}
		catch (IOException ex) {
			// The node closed the connection: records this and sends nothing more.
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
		if (text.toString().toLowerCase().contains("transfer-encoding: chunked")) {
			readChunks(in, text);
		}
		return text.toString();
	}

	// A connection that is closed with unread bytes is reset.
	private static void readChunks(InputStream in, StringBuilder text) throws IOException {
		while (!text.substring(text.length() - LAST_CHUNK.length()).equals(LAST_CHUNK)) {
			int next = in.read();
			if (next < 0) {
				return;
			}
			text.append((char) next);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/**
	 * Resets a connection.
	 * @param out the output that a responder received
	 * @throws IOException if the node closed the connection
	 */
	static void reset(OutputStream out) throws IOException {
		((ConnectionOutput) out).reset();
	}

	/**
	 * Output of a connection that can be reset.
	 */
	private static final class ConnectionOutput extends FilterOutputStream {

		private final Socket socket;

		ConnectionOutput(Socket socket) throws IOException {
			super(socket.getOutputStream());
			this.socket = socket;
		}

		@Override
		public void write(byte[] bytes, int offset, int length) throws IOException {
			this.out.write(bytes, offset, length);
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

	}

	/**
	 * Answers the requests of a connection.
	 */
	@FunctionalInterface
	interface Responder {

		/**
		 * Writes the answer to a request.
		 * @param request the request
		 * @param out receives the answer
		 * @return whether the connection stays open
		 * @throws IOException if the node closed the connection
		 */
		boolean respond(String request, OutputStream out) throws IOException;

	}

}
