package sycamorehill.entry;

import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a target that breaks off an answer and answers again on the same connection.
 */
class CompletedBodyTests {

	private static final long STREAM_PAUSE_MILLIS = 50;

	private final Map<OutputStream, Integer> requests = new ConcurrentHashMap<>();

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private static String head(String status, String identifier, String more) {
		return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + identifier + "\r\nServer-Signature: s\r\n" + more + "\r\n";
	}

	private static String answer(String status, String identifier, String body) {
		return head(status, identifier, "Content-Length: " + body.length() + "\r\n") + body;
	}

	// Guards against a success whose body is not the whole body of the target.
	@ParameterizedTest
	@ValueSource(longs = { 0, 5 })
	void aBodyThatWasCutIsNotCompletedByTheSecondAnswer(long pauseMillis) throws Exception {
		this.node = CallerNode.start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			RawTarget.write(out, head("200 OK", identifier, "Content-Length: 40\r\n") + "abc");
			RawTarget.pause(pauseMillis);
			RawTarget.write(out, answer("500 Error", identifier, "failed"));
			return true;
		});
		assertThat(this.node.ask("/once/x", "cut")).doesNotStartWith("HTTP/1.1 200");
	}

	// Guards against a success that ends with a second answer.
	@Test
	void anAnswerThatEndsWithItsConnectionIsNotJoinedWithTheSecond() throws Exception {
		this.node = CallerNode.start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			RawTarget.write(out, head("200 OK", identifier, "Connection: close\r\n") + "whole"
					+ answer("500 Error", identifier, "failed"));
			return false;
		});
		assertThat(this.node.ask("/once/x", "joined")).doesNotContain("500 Error");
	}

	// Guards against an event that ends with the head of a second answer.
	@Test
	void anEventThatWasCutIsNotCompletedByTheSecondAnswer() throws Exception {
		this.node = CallerNode.start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			RawTarget.write(out, head("200 OK", identifier, "Transfer-Encoding: chunked\r\n")
					+ "13\r\nid: 1\ndata: whole\n\n\r\n" + "c8\r\nid: 2\ndata: cut");
			RawTarget.pause(STREAM_PAUSE_MILLIS);
			RawTarget.write(out, answer("500 Error", identifier, ""));
			return false;
		});
		assertThat(this.node.ask("/single/x", "stream")).contains("data: whole").doesNotContain("500 Error");
	}

	// Guards against a request that waits until its deadline for an answer that has
	// arrived.
	@Test
	void aLateAnswerThatWasCutDoesNotHoldTheNextRequest() throws Exception {
		this.node = CallerNode.start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			boolean first = this.requests.merge(out, 1, Integer::sum) == 1;
			RawTarget.write(out, (first ? "" : head("200 OK", "one", "Content-Length: 5000\r\n") + "abc")
					+ answer("200 OK", identifier, "own"));
			return true;
		});
		assertThat(this.node.ask("/again/x", "one")).startsWith("HTTP/1.1 200");
		try (Socket caller = this.node.connect()) {
			CallerNode.send(caller, CallerNode.request("/again/x", "two", "Deadline-Ms: 1500", "Connection: close"));
			assertThat(CallerNode.readAll(caller)).doesNotStartWith("HTTP/1.1 504");
		}
	}

}
