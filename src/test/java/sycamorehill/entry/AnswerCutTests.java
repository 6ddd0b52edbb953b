package sycamorehill.entry;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.serving.CallerLimits;
import sycamorehill.support.RecordedLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests each path by which a caller's connection closes within an answer, over loopback:
 * what the caller gets, the line in the log and the count.
 */
class AnswerCutTests {

	/** Time for which a stopping node takes requests, at most. */
	private static final Duration ACCEPTANCE_TIME = Duration.ofMillis(3000);

	private static final Duration IDLE_TIMEOUT = Duration.ofMillis(700);

	private static final CallerLimits SHORT_IDLE = new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3),
			IDLE_TIMEOUT);

	/** More than the buffers of both sockets hold. */
	private static final int LARGE_ANSWER_BYTES = 12 * 1024 * 1024;

	private static final Duration SETTLING_TIME = Duration.ofMillis(300);

	private CallerNode node;

	@AfterEach
	void end() throws Exception {
		this.node.close();
	}

	private void start(UnaryOperator<String> answers) throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL, answers);
	}

	private static String largeAnswer(String request) {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
				+ "\r\nServer-Signature: s\r\nContent-Length: " + LARGE_ANSWER_BYTES + "\r\n\r\n"
				+ "x".repeat(LARGE_ANSWER_BYTES);
	}

	private void assertCut(String identifier, CutCause cause) throws Exception {
		List<String> lines = RecordedLog.await("SYC-1914 ANSWER_CUT", "request=" + identifier + ' ');
		assertThat(lines).singleElement()
			.asString()
			.contains("cause=" + cause + ' ', "to=caller")
			.containsPattern("parts=\\d+ bytes=\\d+ age-millis=\\d+");
		assertThat(this.node.metrics()).contains("answers_cut_" + cause + " 1.0");
	}

	private void assertNoCut() throws Exception {
		Thread.sleep(SETTLING_TIME.toMillis());
		assertThat(this.node.metrics()).doesNotContain("answers_cut");
	}

	// An answer that is given up leaves no trace but that of the decision.
	@Test
	void streamThatItsEngineBreaksOffIsReported() throws Exception {
		start((request) -> LoopbackCluster.events(request, 1, 2, false));
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, CallerNode.request("/single/x", "cut-broken"));
			assertThat(CallerNode.readAll(socket)).startsWith("HTTP/1.1 200").contains("data: e2");
		}
		assertCut("cut-broken", CutCause.GAVE_UP);
		assertThat(RecordedLog.lines("ANSWER_CUT", "request=cut-broken ")).singleElement()
			.asString()
			.contains("parts=2 ");
	}

	// A stream whose time is over ends without a line that names the close.
	@Test
	void streamThatReachesItsTimeLimitIsReported() throws Exception {
		start((request) -> LoopbackCluster.events(request, 1, 2, true).replace("0\r\n\r\n", ""));
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, CallerNode.request("/single/x", "cut-late", "Deadline-Ms: 600"));
			assertThat(CallerNode.readAll(socket)).startsWith("HTTP/1.1 200").contains("data: e2");
		}
		assertCut("cut-late", CutCause.GAVE_UP);
	}

	// A caller that takes nothing of its answer holds a connection for ever, or loses the
	// rest without a line.
	@Test
	void answerThatItsCallerDoesNotTakeIsReportedAtTheIdleTimeout() throws Exception {
		this.node = CallerNode.start(SHORT_IDLE, AnswerCutTests::largeAnswer);
		try (Socket socket = this.node.connectSlowly()) {
			CallerNode.send(socket, CallerNode.request("/again/x", "cut-untaken"));
			assertCut("cut-untaken", CutCause.IDLE_TIMER);
		}
	}

	// A stopping node ends the process with requests in flight, and names none of them.
	@Test
	void requestsInFlightAtTheBoundOfAStopAreReported() throws Exception {
		start((request) -> LoopbackCluster.events(request, 1, 2, true).replace("0\r\n\r\n", ""));
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, CallerNode.request("/single/x", "cut-bound"));
			CallerNode.readUntil(socket, "data: e2");
			this.node.node().stop();
			this.node.node().whenStopped().get(10, TimeUnit.SECONDS);
			assertCut("cut-bound", CutCause.DRAIN_BOUND);
		}
	}

	// A node that stops closes a kept connection as idle and discards what the caller has
	// not taken yet.
	@Test
	void answerThatASlowCallerStillTakesIsWholeThoughTheNodeStops() throws Exception {
		start(AnswerCutTests::largeAnswer);
		try (Socket socket = this.node.connectSlowly()) {
			CallerNode.send(socket, CallerNode.request("/again/x", "slow-stop"));
			Thread.sleep(SETTLING_TIME.toMillis());
			this.node.node().stop();
			Thread.sleep(ACCEPTANCE_TIME.plus(SETTLING_TIME).toMillis());
			assertThat(this.node.node().whenStopped()).isNotDone();
			assertThat(readLength(CallerNode.readAll(socket))).isEqualTo(LARGE_ANSWER_BYTES);
			this.node.node().whenStopped().get(1, TimeUnit.SECONDS);
		}
		assertThat(RecordedLog.lines("ANSWER_CUT", "request=slow-stop ")).isEmpty();
	}

	// A caller that takes an answer for longer than the idle timeout loses the rest.
	@ParameterizedTest
	@ValueSource(strings = { "Connection: keep-alive", "Connection: close" })
	void answerThatACallerTakesSlowlyIsWholeBeyondTheIdleTimeout(String connection) throws Exception {
		this.node = CallerNode.start(SHORT_IDLE, AnswerCutTests::largeAnswer);
		StringBuilder received = new StringBuilder();
		try (Socket socket = this.node.connectSlowly()) {
			CallerNode.send(socket, CallerNode.request("/again/x", "slow-idle", connection));
			for (Instant end = Instant.now().plus(IDLE_TIMEOUT.multipliedBy(3)); Instant.now().isBefore(end);) {
				received.append(new String(socket.getInputStream().readNBytes(200_000), StandardCharsets.ISO_8859_1));
				Thread.sleep(50);
			}
			received.append(CallerNode.readAll(socket));
		}
		assertThat(readLength(received.toString())).isEqualTo(LARGE_ANSWER_BYTES);
		assertNoCut();
	}

	private static int readLength(String answer) {
		return answer.length() - answer.indexOf("\r\n\r\n") - 4;
	}

	// A caller that takes nothing of its last answer holds the connection for ever.
	@Test
	void lastAnswerThatItsCallerDoesNotTakeIsReportedAtTheIdleTimeout() throws Exception {
		this.node = CallerNode.start(SHORT_IDLE, AnswerCutTests::largeAnswer);
		try (Socket socket = this.node.connectSlowly()) {
			CallerNode.send(socket, CallerNode.request("/again/x", "cut-untaken-last", "Connection: close"));
			assertCut("cut-untaken-last", CutCause.IDLE_TIMER);
		}
	}

	// A request behind the last answer of a connection disappears.
	@Test
	void requestBehindTheLastAnswerIsReported() throws Exception {
		start(LoopbackCluster::hello);
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, CallerNode.request("/again/x", "last", "Connection: close")
					+ CallerNode.request("/again/x", "cut-behind"));
			assertThat(CallerNode.readAll(socket)).startsWith("HTTP/1.1 200").endsWith("hello");
		}
		assertCut("cut-behind", CutCause.BEHIND_LAST_ANSWER);
		assertThat(RecordedLog.lines("ANSWER_CUT", "request=last ")).isEmpty();
	}

	// Lines about answers that the caller has whole would hide those about cuts.
	@Test
	void wholeAnswersAreNotReported() throws Exception {
		start((request) -> request.startsWith("POST /s") ? LoopbackCluster.events(request, 1, 4, true)
				: LoopbackCluster.hello(request));
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, CallerNode.request("/again/x", "whole1"));
			CallerNode.readUntil(socket, "hello");
			CallerNode.send(socket, CallerNode.request("/stream/x", "whole2"));
			CallerNode.readUntil(socket, "0\r\n\r\n");
			CallerNode.send(socket, CallerNode.request("/once/x", "whole3") + CallerNode.request("/again/x", "whole4"));
			CallerNode.readUntil(socket, "hello");
			CallerNode.readUntil(socket, "hello");
		}
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, CallerNode.request("/single/x", "whole5", "Connection: close"));
			assertThat(CallerNode.readAll(socket)).endsWith("0\r\n\r\n");
		}
		assertNoCut();
	}

	// A close by the caller must not look like one by the node. Its half-close can't be
	// told from a close, after which no engine may stay at work for it.
	@Test
	void callersThatLeaveAreNotReportedAsCut() throws Exception {
		start((request) -> LoopbackCluster.events(request, 1, 2, true).replace("0\r\n\r\n", ""));
		for (String way : List.of("close", "reset", "half-close")) {
			try (Socket socket = this.node.connect()) {
				CallerNode.send(socket, CallerNode.request("/single/x", "left-by-" + way));
				CallerNode.readUntil(socket, "data: e2");
				if (way.equals("half-close")) {
					socket.shutdownOutput();
					Thread.sleep(SETTLING_TIME.toMillis());
				}
				else if (way.equals("reset")) {
					socket.setSoLinger(true, 0);
				}
			}
			assertThat(RecordedLog.await("REQUEST_FAILED", "request=left-by-" + way + ' ', "caller left")).as(way)
				.hasSize(1);
		}
		assertNoCut();
	}

	// The same before the answer has started.
	@Test
	void callerThatLeavesBeforeItsAnswerIsNotReportedAsCut() throws Exception {
		start((request) -> "HTTP/1.1 200 OK\r\n");
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, CallerNode.request("/again/x", "left-early"));
			Thread.sleep(SETTLING_TIME.toMillis());
		}
		assertThat(RecordedLog.await("REQUEST_FAILED", "request=left-early ", "caller left")).hasSize(1);
		assertNoCut();
	}

}
