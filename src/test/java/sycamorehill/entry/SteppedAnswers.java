package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Answers of targets that end only after the test lets them go on. Streams send events
 * all the time. The start of a request's identifier tells what happens to it.
 */
final class SteppedAnswers {

	/** A stream without events for longer than some hundred milliseconds is silent. */
	private static final int PAUSE_MILLIS = 20;

	private static final int MAXIMUM_PAUSES = 500;

	private static final int EVENTS_BEFORE = 3;

	private static final int EVENTS_AFTER = 6;

	/** Events that a stream sends after the wait until it breaks. */
	private static final int EVENTS_UNTIL_BREAK = 3;

	private static final Pattern RESUMED = Pattern.compile("Last-Event-Id: (\\d+)");

	private final AtomicInteger started = new AtomicInteger();

	private final Set<String> seen = ConcurrentHashMap.newKeySet();

	private final Map<String, Integer> lastEvents = new ConcurrentHashMap<>();

	private volatile boolean goesOn;

	void goOn() {
		this.goesOn = true;
	}

	/**
	 * Waits until requests have been read by their targets, and the streams among them
	 * have sent several events.
	 * @param requests the number of requests
	 */
	void awaitStarted(int requests) throws InterruptedException {
		for (int attempt = 0; attempt < MAXIMUM_PAUSES && this.started.get() < requests; attempt++) {
			Thread.sleep(PAUSE_MILLIS);
		}
		if (this.started.get() < requests) {
			throw new AssertionError("of " + requests + " requests only " + this.seen);
		}
	}

	/**
	 * Returns the body of a whole answer that has come to its end.
	 * @param identifier identifier of the request
	 * @return the body
	 */
	String expected(String identifier) {
		Integer lastEvent = this.lastEvents.get(identifier);
		if (lastEvent == null) {
			return "hello";
		}
		StringBuilder body = new StringBuilder();
		for (int number = 1; number <= lastEvent; number++) {
			body.append(event(number));
		}
		return body.toString();
	}

	private static String event(int number) {
		return "id: " + number + "\ndata: e" + number + "\n\n";
	}

	boolean answerPlain(String request, OutputStream out) throws IOException {
		String identifier = LoopbackCluster.identifier(request);
		if (identifier.startsWith("before")) {
			RawTarget.write(out, LoopbackCluster.hello(request));
			return true;
		}
		boolean first = recordStarted(identifier);
		awaitGoingOn();
		boolean fails = first && identifier.startsWith("failing");
		RawTarget.write(out,
				fails ? LoopbackCluster.hello(request).replace("200 OK", "500 Error") : LoopbackCluster.hello(request));
		return true;
	}

	boolean answerStream(String request, OutputStream out) throws IOException {
		String identifier = LoopbackCluster.identifier(request);
		if (identifier.startsWith("before")) {
			RawTarget.write(out, LoopbackCluster.events(request, 1, 2, true));
			return true;
		}
		if (!request.contains("Expect-Instance: h")) {
			refuse("421 Misdirected", identifier, out);
			return true;
		}
		boolean waits = identifier.startsWith("queued") || identifier.startsWith("refused");
		if (!waits) {
			return writeEvents(request, identifier, out);
		}
		boolean first = recordStarted(identifier);
		awaitGoingOn();
		if (first && identifier.startsWith("refused")) {
			refuse("503 Full", identifier, out);
			return true;
		}
		return writeEvents(request, identifier, out);
	}

	private boolean writeEvents(String request, String identifier, OutputStream out) throws IOException {
		Matcher resumed = RESUMED.matcher(request);
		int next = resumed.find() ? Integer.parseInt(resumed.group(1)) + 1 : 1;
		RawTarget.write(out, LoopbackCluster.events(request, next, next, true).replace("0\r\n\r\n", ""));
		int last = writeEvents(next, EVENTS_BEFORE, out);
		boolean first = recordStarted(identifier);
		for (int waited = 0; waited < MAXIMUM_PAUSES && !this.goesOn; waited++) {
			last = writeEvents(last, 1, out);
		}
		if (first && identifier.startsWith("breaking")) {
			writeEvents(last, EVENTS_UNTIL_BREAK, out);
			return false;
		}
		last = writeEvents(last, EVENTS_AFTER, out);
		this.lastEvents.put(identifier, last);
		RawTarget.write(out, "0\r\n\r\n");
		return true;
	}

	private static int writeEvents(int last, int count, OutputStream out) throws IOException {
		for (int number = last + 1; number <= last + count; number++) {
			pause();
			String event = event(number);
			RawTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
		}
		return last + count;
	}

	private static void refuse(String status, String identifier, OutputStream out) throws IOException {
		RawTarget.write(out, "HTTP/1.1 " + status + "\r\nAttempt-Id: " + identifier
				+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	}

	// Returns whether this is the request's first attempt.
	private boolean recordStarted(String identifier) {
		boolean first = this.seen.add(identifier);
		if (first) {
			this.started.incrementAndGet();
		}
		return first;
	}

	private void awaitGoingOn() {
		for (int waited = 0; waited < MAXIMUM_PAUSES && !this.goesOn; waited++) {
			pause();
		}
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
