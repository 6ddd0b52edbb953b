package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback that two sendings of a request, at two targets or twice at one, are
 * told apart: status, signature and body that the caller gets are those of one of them.
 */
class TwoSendingsTests {

	private static final int REQUESTS_UNTIL_DETECTED = 10;

	private static final int SILENCE_MILLIS = 1200;

	private static final int GAP_MILLIS = 100;

	private static final String LATE = "late";

	/** Last chunk of a stream. */
	private static final String END = "0\r\n\r\n";

	private LoopbackCluster cluster;

	@AfterEach
	void close() throws IOException {
		this.cluster.close();
	}

	private void start(RawTarget.Responder plain, RawTarget.Responder engines, String... nodes) throws Exception {
		this.cluster = LoopbackCluster.start(plain, engines, List.of(), nodes);
		this.cluster.awaitRetryShare(nodes[0]);
	}

	private void startPlain(RawTarget.Responder plain, String... nodes) throws Exception {
		start(plain, (request, out) -> writeEvents(request, out, 1, 2), nodes);
	}

	private void startEngines(RawTarget.Responder engines) throws Exception {
		start(RawTarget.responder(LoopbackCluster::hello), engines, "one");
	}

	private static String answer(String request, int status, String signature, String body) {
		return "HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
				+ "\r\nServer-Signature: " + signature + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static boolean writeEvents(String request, OutputStream out, int first, int last) throws IOException {
		RawTarget.write(out, LoopbackCluster.events(request, first, last, true));
		return true;
	}

	private static String openStream(String request, int first, int last) {
		return LoopbackCluster.events(request, first, last, true).replace(END, "");
	}

	private static String chunk(String event) {
		return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
	}

	private static String event(int number, String text) {
		return chunk("id: " + number + "\ndata: " + text + number + "\n\n");
	}

	private static boolean isResumed(String request) {
		return request.contains("Last-Event-Id: ");
	}

	private static void sleep(int millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private static void assertEvents(String answer, String... events) {
		assertThat(answer).startsWith("HTTP/1.1 200").endsWith(END);
		assertThat(answer.lines().filter((line) -> line.startsWith("data: "))).containsExactly(events);
	}

	// The first sending fails, and its target answers it once more, late, with a success.
	private static RawTarget.Responder failingThen(AtomicInteger sendings, int secondStatus) {
		return (request, out) -> {
			if (!request.contains("Attempt-Id: two-")) {
				RawTarget.write(out, answer(request, 200, "w", "warm"));
				return true;
			}
			if (sendings.incrementAndGet() == 1) {
				RawTarget.write(out, answer(request, 500, "s1", "failure 1"));
				sleep(GAP_MILLIS / 2);
				RawTarget.write(out, answer(request, 200, "s1", LATE));
				return true;
			}
			sleep(GAP_MILLIS);
			if (secondStatus == 0) {
				return false;
			}
			RawTarget.write(out, answer(request, secondStatus, "s2", "answer 2"));
			RawTarget.write(out, answer(request, 200, "s2", LATE));
			return true;
		};
	}

	private static void assertOneSending(String answer, int secondStatus) {
		String signature = (secondStatus == 0) ? "s1" : "s2";
		String status = (secondStatus == 0) ? "500" : String.valueOf(secondStatus);
		assertThat(answer).startsWith("HTTP/1.1 " + status)
			.contains("Server-Signature: " + signature + "\r\n")
			.endsWith((secondStatus == 0) ? "failure 1" : "answer 2");
	}

	// Guards against the status of one sending with the body or signature of the other.
	@ParameterizedTest
	@ValueSource(ints = { 200, 404, 500, 0 })
	void aHeldFailureAndASecondSendingAreNotMixed(int secondStatus) throws Exception {
		AtomicInteger sendings = new AtomicInteger();
		startPlain(failingThen(sendings, secondStatus), "one");
		assertOneSending(this.cluster.ask("one", "/again/x", "two-a"), secondStatus);
		assertThat(sendings).hasValue(2);
		assertThat(this.cluster.ask("one", "/again/x", "next")).endsWith("warm");
	}

	// Guards against the same for a failure that came through another node.
	@ParameterizedTest
	@ValueSource(ints = { 200, 404, 500, 0 })
	void aHeldFailureThroughAnotherNodeAndASecondSendingAreNotMixed(int secondStatus) throws Exception {
		AtomicInteger sendings = new AtomicInteger();
		startPlain(failingThen(sendings, secondStatus), "one", "two");
		this.cluster.cut("one", TargetLink.Way.RESET);
		for (int asked = 0; asked < REQUESTS_UNTIL_DETECTED; asked++) {
			this.cluster.ask("one", "/again/x", "lost-" + asked);
		}
		assertOneSending(this.cluster.ask("one", "/again/x", "two-b"), secondStatus);
		assertThat(sendings).hasValue(2);
	}

	// Guards against the answer at one node for a sending of the same identifier at
	// another node, whose caller has left.
	@Test
	void aCallerThatRetriesAtAnotherNodeGetsTheAnswerToItsRetry() throws Exception {
		AtomicInteger sendings = new AtomicInteger();
		startPlain((request, out) -> {
			int sending = sendings.incrementAndGet();
			sleep((sending == 1) ? 3 * GAP_MILLIS : 0);
			RawTarget.write(out, answer(request, 200, "s" + sending, "answer " + sending));
			return true;
		}, "one", "two");
		try (Socket left = this.cluster.open("one", "/again/x", "moved", "abc")) {
			sleep(GAP_MILLIS);
			assertThat(left.isClosed()).isFalse();
		}
		assertThat(this.cluster.ask("two", "/again/x", "moved")).endsWith("answer 2");
		sleep(3 * GAP_MILLIS);
		assertThat(this.cluster.ask("one", "/again/x", "moved")).endsWith("answer 3");
	}

	// Guards against the signature of one target over the events of another.
	@Test
	void theHeadOfAStreamIsThatOfTheTargetWhoseEventsComeFirst() throws Exception {
		AtomicInteger sendings = new AtomicInteger();
		startEngines((request, out) -> {
			int sending = sendings.incrementAndGet();
			RawTarget.write(out, openStream(request, 1, 0).replace("Signature: s", "Signature: s" + sending));
			if (sending == 1) {
				return false;
			}
			RawTarget.write(out, event(1, "own") + END);
			return true;
		});
		String answer = this.cluster.ask("one", "/stream/x", "heads");
		assertThat(answer).contains("Server-Signature: s2\r\n");
		assertEvents(answer, "data: own1");
	}

	// Sends three events, and then a second answer of five as part of the first.
	private static void answerTwiceWithin(String request, OutputStream out) throws IOException {
		StringBuilder text = new StringBuilder(openStream(request, 1, 3));
		for (int number = 1; number <= 5; number++) {
			text.append(event(number, "second"));
		}
		RawTarget.write(out, text + END);
	}

	// Guards against a stream that goes on with the second answer of a target.
	@Test
	void aSecondAnswerWithinAStreamIsNotJoinedToTheFirst() throws Exception {
		startEngines((request, out) -> {
			if (isResumed(request)) {
				return writeEvents(request, out, 4, 5);
			}
			answerTwiceWithin(request, out);
			return true;
		});
		assertEvents(this.cluster.ask("one", "/stream/x", "repeated"), "data: e1", "data: e2", "data: e3", "data: e4",
				"data: e5");
	}

	// Guards against the same where the stream can't be resumed.
	@Test
	void aStreamWithASecondAnswerWithinDoesNotLookWhole() throws Exception {
		startEngines((request, out) -> {
			answerTwiceWithin(request, out);
			return true;
		});
		assertThat(this.cluster.ask("one", "/single/x", "repeated")).contains("data: e3")
			.doesNotContain("data: second")
			.doesNotEndWith(END);
	}

	@Test
	void aResumedStreamThatBeginsAnewRepeatsNothing() throws Exception {
		startEngines((request, out) -> {
			if (isResumed(request)) {
				return writeEvents(request, out, 1, 4);
			}
			RawTarget.write(out, openStream(request, 1, 2));
			return false;
		});
		assertEvents(this.cluster.ask("one", "/stream/x", "anew"), "data: e1", "data: e2", "data: e3", "data: e4");
	}

	// Guards against events that come twice because a stream without numbers is resumed.
	@Test
	void aSilentStreamWithAnUnnumberedEventIsNotResumedElsewhere() throws Exception {
		AtomicInteger sendings = new AtomicInteger();
		startEngines((request, out) -> {
			String own = chunk("data: unnumbered\n\n");
			if (sendings.incrementAndGet() > 1) {
				RawTarget.write(out, openStream(request, 1, 0) + own + END);
				return true;
			}
			RawTarget.write(out, openStream(request, 1, 0) + own);
			sleep(SILENCE_MILLIS);
			RawTarget.write(out, chunk("data: last\n\n") + END);
			return true;
		});
		assertEvents(this.cluster.ask("one", "/stream/x", "unnumbered"), "data: unnumbered", "data: last");
	}

}
