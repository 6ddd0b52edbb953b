package sycamorehill.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import sycamorehill.model.identity.Address;
import sycamorehill.support.CutAnswer;

/**
 * Server that cuts its answers to requests without bodies, as their identifiers say.
 */
final class CutServer implements AutoCloseable {

	static final String IDENTIFIER = "Attempt-Id";

	private static final Pattern IDENTIFIER_LINE = Pattern.compile("(?i)" + IDENTIFIER + ": (\\S+)");

	private static final int PAUSE_MILLIS = 1;

	private final ServerSocket listener;

	/** Identifiers of the requests that have arrived. */
	private final Set<String> received = ConcurrentHashMap.newKeySet();

	private CutServer(ServerSocket listener) {
		this.listener = listener;
	}

	static CutServer start() throws IOException {
		CutServer server = new CutServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
		startThread(server::accept);
		return server;
	}

	private static void startThread(Runnable work) {
		Thread thread = new Thread(work, "cut-server");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Returns whether a request has arrived.
	 * @param identifier identifier of the request
	 * @return whether it has
	 */
	boolean hasReceived(String identifier) {
		return this.received.contains(identifier);
	}

	Address address() {
		return Address.of("127.0.0.1", this.listener.getLocalPort());
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				startThread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Optional<CutAnswer.Cut> cut = readCut(in);
			while (cut.isPresent() && answer(cut.get(), socket)) {
				cut = readCut(in);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The client closed the connection.
		}
	}

	private Optional<CutAnswer.Cut> readCut(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return Optional.empty();
			}
			head.append((char) next);
		}
		Matcher identifier = IDENTIFIER_LINE.matcher(head);
		if (!identifier.find()) {
			return Optional.empty();
		}
		this.received.add(identifier.group(1));
		return Optional.of(CutAnswer.Cut.parse(identifier.group(1)));
	}

	private static boolean answer(CutAnswer.Cut cut, Socket socket) throws IOException, InterruptedException {
		write(socket, cut.sentHead());
		if (!cut.sentBody().isEmpty()) {
			Thread.sleep(PAUSE_MILLIS);
			write(socket, cut.sentBody());
		}
		if (cut.isWhole() && !cut.answer().isUnframed()) {
			return true;
		}
		if (cut.bytes() % 2 == 0) {
			Thread.sleep(PAUSE_MILLIS);
		}
		socket.setSoLinger(cut.reset(), 0);
		return false;
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

}
