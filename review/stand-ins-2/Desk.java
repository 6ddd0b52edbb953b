import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in of a plain server (PROTOCOL.md, "Engines"): runs a request for some
 * milliseconds and answers with its id, a signature and a body of 800 bytes. One server of
 * several may spoil each twentieth answer: the first that has run twenty requests.
 */
final class Desk {

	private static final int WORK_MS = 40;

	private static final int BODY_BYTES = 800;

	private static final int GARBLED_OF = 20;

	private static final int MAXIMUM_MISSING = 50;

	final String id;

	private final ServerSocket server;

	/** Number of runs at which a server becomes the one that spoils answers. */
	private static final int FIRST_SPOILT = 20;

	private static final String REFUSAL = "all slots and all places to wait are taken; come back later\n";

	private final Fault fault;

	/** The server that spoils answers, of all that may. */
	private final AtomicReference<Desk> spoiler;

	private final Trace trace;

	/** The whole body of each request that was run, by its id. */
	final Map<String, String> bodies = new ConcurrentHashMap<>();

	final AtomicInteger runs = new AtomicInteger();

	final AtomicInteger spoilt = new AtomicInteger();

	/** How answers are spoilt. */
	enum Fault {

		/** Not at all. */
		NONE,

		/** The body stops near its end, and another answer follows, a failure. */
		BODY_STOPS,

		/** The answer is a failure, behind the start of a head of a success. */
		HEAD_BEFORE_FAILURE,

		/** A refusal stops within its body, and the request is run and answered. */
		REFUSAL_STOPS

	}

	Desk(String id, Fault fault, AtomicReference<Desk> spoiler, Store store, Trace trace) throws IOException {
		this.id = id;
		this.fault = fault;
		this.spoiler = spoiler;
		this.trace = trace;
		this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		start("accepting", this::accept);
		ObjectNode entry = Store.JSON.createObjectNode()
			.put("service", "desk")
			.put("address", "127.0.0.1:" + this.server.getLocalPort())
			.put("zone", "north")
			.put("version", "v1")
			.put("batch_slots", 6)
			.put("state", "ready")
			.put("warmup_left_ms", 0)
			.put("sequence", 1)
			.put("born", System.currentTimeMillis());
		store.write("servers", id, entry);
	}

	private static void start(String name, Runnable work) {
		Thread thread = new Thread(work, name);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				start(this.id, () -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream input = socket.getInputStream();
			for (String head = readHead(input); !head.isEmpty(); head = readHead(input)) {
				input.readNBytes(Integer.parseInt(header(head, "content-length", "0")));
				answer(socket.getOutputStream(), head);
			}
		}
		catch (IOException ex) {
			// The connection has ended.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void answer(OutputStream output, String head) throws IOException, InterruptedException {
		String attempt = header(head, "attempt-id", "");
		if (!this.id.equals(header(head, "expect-instance", this.id))) {
			output.write(("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt + "\r\nInstance-Id: " + this.id
					+ "\r\nContent-Length: 0\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			return;
		}
		TimeUnit.MILLISECONDS.sleep(WORK_MS);
		int run = this.runs.incrementAndGet();
		if (run == FIRST_SPOILT && this.fault != Fault.NONE) {
			this.spoiler.compareAndSet(null, this);
		}
		boolean spoils = this.spoiler.get() == this && run % GARBLED_OF == 0;
		output.write((spoils ? spoiltAnswer(attempt) : wholeAnswer(attempt)).getBytes(StandardCharsets.ISO_8859_1));
	}

	private String wholeAnswer(String attempt) {
		String body = body(attempt);
		this.bodies.put(attempt, body);
		return start(200, "OK", attempt, "a", BODY_BYTES) + body;
	}

	private String spoiltAnswer(String attempt) {
		int number = this.spoilt.getAndIncrement();
		String failure = start(500, "Internal Server Error", attempt, "b", 7) + "failed\n";
		if (this.fault == Fault.HEAD_BEFORE_FAILURE) {
			this.trace.write(this.id + " answers " + attempt + " with 500, behind the start of a head");
			return "HTTP/1.1 200 OK\r\nServer-Signature " + failure;
		}
		int missing = 1 + (number * 7) % MAXIMUM_MISSING;
		if (this.fault == Fault.REFUSAL_STOPS) {
			this.trace.write(this.id + " breaks off a refusal of " + attempt + ", " + missing
					+ " bytes before the end, runs it and answers with 200");
			String refusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt
					+ "\r\nNot-Executed: 1\r\nContent-Length: " + REFUSAL.length() + "\r\n\r\n" + REFUSAL;
			return refusal.substring(0, refusal.length() - missing) + wholeAnswer(attempt);
		}
		this.trace.write(this.id + " breaks off its answer to " + attempt + ", " + missing
				+ " bytes before the end, and answers again with 500");
		String whole = wholeAnswer(attempt);
		return whole.substring(0, whole.length() - missing) + failure;
	}

	private static String start(int status, String reason, String attempt, String signature, int length) {
		return "HTTP/1.1 " + status + " " + reason + "\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: 3e1b."
				+ signature + "." + attempt + "\r\nContent-Length: " + length + "\r\n\r\n";
	}

	private static String body(String attempt) {
		StringBuilder body = new StringBuilder();
		for (int line = 0; body.length() < BODY_BYTES; line++) {
			body.append("line ").append(line).append(" of the answer to ").append(attempt).append('\n');
		}
		return body.substring(0, BODY_BYTES);
	}

	private static String header(String head, String name, String missing) {
		for (String line : head.split("\r\n")) {
			int colon = line.indexOf(':');
			if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
				return line.substring(colon + 1).trim();
			}
		}
		return missing;
	}

	private static String readHead(InputStream input) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		int matched = 0;
		for (int next = input.read(); next >= 0; next = input.read()) {
			head.write(next);
			matched = (next == "\r\n\r\n".charAt(matched)) ? matched + 1 : (next == '\r') ? 1 : 0;
			if (matched == 4) {
				return head.toString(StandardCharsets.ISO_8859_1);
			}
		}
		return "";
	}

}
