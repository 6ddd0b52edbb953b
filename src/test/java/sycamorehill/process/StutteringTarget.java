package sycamorehill.process;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import sycamorehill.model.identity.Address;
import sycamorehill.process.ScriptedAnswer.End;
import sycamorehill.process.SoakLedger.Sending;

/**
 * Target that answers in the forms that are set at the moment, and records what it
 * answers at each sending.
 */
final class StutteringTarget implements AutoCloseable {

	private static final int BACKLOG = 200;

	private static final int STREAM_PAUSE_MILLIS = 12;

	private static final int MAXIMUM_LATENESS_MILLIS = 30;

	private final String name;

	private final SoakLedger ledger;

	private final long seed;

	private final ServerSocket server;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicLong connections = new AtomicLong();

	private volatile Trouble trouble = Trouble.NONE;

	private volatile long cutUntil = System.nanoTime();

	private volatile long stillUntil = System.nanoTime();

	private StutteringTarget(String name, SoakLedger ledger, long seed, ServerSocket server) {
		this.name = name;
		this.ledger = ledger;
		this.seed = seed;
		this.server = server;
	}

	static StutteringTarget start(String name, SoakLedger ledger, long seed) throws IOException {
		StutteringTarget target = new StutteringTarget(name, ledger, seed,
				new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")));
		startThread(target::accept);
		return target;
	}

	private static void startThread(Runnable work) {
		Thread thread = new Thread(null, work, "stuttering-target", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
	}

	String name() {
		return this.name;
	}

	Address address() {
		return Address.of("127.0.0.1", this.server.getLocalPort());
	}

	void setTrouble(Trouble now) {
		this.trouble = now;
	}

	/**
	 * Resets all connections, and new ones for a while.
	 * @param length how long
	 */
	void cut(Duration length) {
		this.cutUntil = System.nanoTime() + length.toNanos();
		this.sockets.forEach(StutteringTarget::reset);
	}

	/**
	 * Stands still for a while, as behind a path that loses all packets.
	 * @param length how long
	 */
	void standStill(Duration length) {
		this.stillUntil = System.nanoTime() + length.toNanos();
	}

	void endTrouble() {
		this.trouble = Trouble.NONE;
		this.cutUntil = System.nanoTime();
		this.stillUntil = System.nanoTime();
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
		if (System.nanoTime() - this.cutUntil < 0) {
			reset(socket);
			return;
		}
		this.sockets.add(socket);
		try (socket) {
			socket.setTcpNoDelay(true);
			new Connection(socket, this.connections.incrementAndGet()).serve();
		}
		catch (IOException ex) {
			// The node closed the connection, or it was cut; the record says what was
			// meant.
			reset(socket);
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private static void reset(Socket socket) {
		try (socket) {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			// The socket is closed already.
			return;
		}
	}

	private void awaitMotion() throws IOException {
		for (long left = this.stillUntil - System.nanoTime(); left > 0; left = this.stillUntil - System.nanoTime()) {
			pause(Math.min(20, left / 1_000_000 + 1));
		}
	}

	private static void pause(long millis) throws IOException {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		this.sockets.forEach(StutteringTarget::reset);
	}

	/**
	 * What happens at a target at a moment.
	 *
	 * @param forms forms of the answers that occur beside whole ones
	 * @param seconds second answers that occur
	 * @param percent share of the answers that are affected, in percent
	 */
	record Trouble(List<AnswerForm> forms, List<SecondAnswer> seconds, int percent) {

		static final Trouble NONE = new Trouble(List.of(), List.of(), 0);

		private AnswerForm form(Random random) {
			return hits(this.forms, random) ? this.forms.get(random.nextInt(this.forms.size())) : AnswerForm.WHOLE;
		}

		private SecondAnswer second(Random random) {
			return hits(this.seconds, random) ? this.seconds.get(random.nextInt(this.seconds.size()))
					: SecondAnswer.NONE;
		}

		private boolean hits(List<?> kinds, Random random) {
			return !kinds.isEmpty() && random.nextInt(100) < this.percent;
		}

	}

	/**
	 * One connection from a node.
	 */
	private final class Connection {

		private final Socket socket;

		private final InputStream input;

		private final long number;

		private final Random random;

		private int requests;

		/** Second answer that waits for the next request. */
		private String late = "";

		Connection(Socket socket, long number) throws IOException {
			this.socket = socket;
			this.input = new BufferedInputStream(socket.getInputStream());
			this.number = number;
			this.random = new Random(StutteringTarget.this.seed * 10_000 + number);
		}

		void serve() throws IOException {
			for (String head = readHead(); !head.isEmpty(); head = readHead()) {
				if (!answer(head)) {
					return;
				}
			}
		}

		private String readHead() throws IOException {
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				int next = this.input.read();
				if (next < 0) {
					return "";
				}
				head.append((char) next);
			}
			awaitMotion();
			return head.toString();
		}

		private boolean answer(String head) throws IOException {
			SoakRequest request = SoakRequest.parse(head);
			if (request == null) {
				StutteringTarget.this.ledger.addFault("not a request of the soak: " + head);
				return false;
			}
			AnswerForm form = StutteringTarget.this.trouble.form(this.random);
			SecondAnswer second = StutteringTarget.this.trouble.second(this.random);
			if (form != AnswerForm.EARLY) {
				readBody(head, request);
			}
			ScriptedAnswer script = ScriptedAnswer.of(form, request,
					StutteringTarget.this.ledger.nextSignature(StutteringTarget.this.name), this.random);
			this.requests++;
			String connection = StutteringTarget.this.name + '/' + this.number + '/' + this.requests;
			StutteringTarget.this.ledger.record(new Sending(request.token(), request.identifier(), Instant.now(),
					connection, form + "+" + second, script));
			boolean kept = write(request, script, second);
			if (kept && form == AnswerForm.EARLY) {
				readBody(head, request);
			}
			return kept;
		}

		private void readBody(String head, SoakRequest request) throws IOException {
			String length = SoakRequest.header(head, "Content-Length");
			byte[] body = this.input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
			if (!request.body().equals(new String(body, StandardCharsets.ISO_8859_1)) && !isClosed(body, length)) {
				StutteringTarget.this.ledger.addFault("another body than the caller's: " + head);
			}
		}

		private boolean isClosed(byte[] body, String length) {
			return !length.isEmpty() && body.length < Integer.parseInt(length);
		}

		private boolean write(SoakRequest request, ScriptedAnswer script, SecondAnswer second) throws IOException {
			String before = this.late;
			this.late = "";
			if (!before.isEmpty() && this.random.nextBoolean()) {
				send(before);
				before = "";
			}
			String again = (second != SecondAnswer.NONE && script.end() == End.KEEP)
					? ScriptedAnswer.second(request, script.signature(), this.random) : "";
			boolean closing = !again.isEmpty() && second == SecondAnswer.WHILE_CLOSING;
			List<String> writes = script.writes();
			for (int index = 0; index < writes.size(); index++) {
				String bytes = before + (closing ? announceClose(writes.get(index)) : writes.get(index));
				before = "";
				send((second == SecondAnswer.AT_ONCE && index == writes.size() - 1) ? bytes + again : bytes);
				if (index < writes.size() - 1) {
					pause(request.kind().isStream() ? STREAM_PAUSE_MILLIS : this.random.nextInt(3));
				}
			}
			sendAgain(second, again);
			return !closing && end(script.end());
		}

		private String announceClose(String bytes) {
			return bytes.replaceFirst("(HTTP/1.1 [2-5].*\r\n)", "$1Connection: close\r\n");
		}

		private void sendAgain(SecondAnswer second, String again) throws IOException {
			if (second == SecondAnswer.BEFORE_NEXT) {
				this.late = again;
			}
			else if (second != SecondAnswer.AT_ONCE) {
				pause((second == SecondAnswer.LATER) ? this.random.nextInt(MAXIMUM_LATENESS_MILLIS) : 0);
				send(again);
			}
		}

		private void send(String bytes) throws IOException {
			if (!bytes.isEmpty()) {
				awaitMotion();
				this.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
			}
		}

		private boolean end(End end) throws IOException {
			if (end == End.RESET) {
				reset(this.socket);
			}
			else if (end == End.SILENCE) {
				this.input.transferTo(OutputStream.nullOutputStream());
			}
			return end == End.KEEP;
		}

	}

}
