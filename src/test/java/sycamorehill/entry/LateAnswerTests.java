package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.support.RecordedLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests late answers to an earlier request, of each form, before the awaited one.
 */
class LateAnswerTests {

	private static final int MANY = 500;

	private final Map<OutputStream, Integer> requests = new ConcurrentHashMap<>();

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private static String head(String status, String identifier, String more) {
		return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + identifier
				+ "\r\nServer-Signature: s\r\nKeep-Alive: timeout=60\r\n" + more + "\r\n";
	}

	private static String answer(String status, String identifier, String body) {
		return head(status, identifier, "Content-Length: " + body.length() + "\r\n") + body;
	}

	// Writes the late answers before the answer to each request but the first.
	private void start(String late) throws Exception {
		this.node = CallerNode.start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			boolean first = this.requests.merge(out, 1, Integer::sum) == 1;
			String own = request.startsWith("HEAD") ? head("200 OK", identifier, "Content-Length: 3\r\n")
					: answer("200 OK", identifier, "own");
			RawTarget.write(out, (first ? "" : late) + own);
			return true;
		});
	}

	private String ask(String method, String identifier) throws IOException {
		try (Socket caller = this.node.connect()) {
			CallerNode.send(caller, method + " /again/x HTTP/1.1\r\nHost: feed.example\r\nAuthorization: Token key\r\n"
					+ "Attempt-Id: " + identifier + "\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n");
			return CallerNode.readAll(caller);
		}
	}

	// Guards against a request that waits for an answer that has arrived.
	@Test
	void aLateAnswerToAHeadRequestDoesNotHoldTheNextRequest() throws Exception {
		start(head("200 OK", "one", "Content-Length: 5000\r\n"));
		assertThat(ask("HEAD", "one")).startsWith("HTTP/1.1 200");
		assertThat(ask("GET", "two")).startsWith("HTTP/1.1 502");
	}

	// Guards against a body that is taken for the beginning of an answer.
	@ParameterizedTest
	@ValueSource(strings = { "second", "HTTP/1.1 200 OK\r\nAttempt-Id: two\r\nServer-Signature: s\r\n\r\n" })
	void aLateBodyIsNotTakenForTheAnswerToAHeadRequest(String body) throws Exception {
		start(answer("200 OK", "one", body));
		assertThat(ask("GET", "one")).startsWith("HTTP/1.1 200");
		assertThat(ask("HEAD", "two")).startsWith("HTTP/1.1 502");
	}

	// Guards against a request that waits for an answer that has arrived.
	@ParameterizedTest
	@ValueSource(strings = { "", "Connection: close\r\n" })
	void aLateAnswerWithoutLengthDoesNotHoldTheNextRequest(String headers) throws Exception {
		start(head("200 OK", "one", headers));
		assertThat(ask("GET", "one")).startsWith("HTTP/1.1 200");
		assertThat(ask("GET", "two")).startsWith("HTTP/1.1 502");
	}

	// Guards against late answers that cost the next request its own.
	@Test
	void lateAnswersOfEachFormAreSkipped() throws Exception {
		start(answer("200 OK", "one", "second") + head("200 OK", "one", "Transfer-Encoding: chunked\r\n")
				+ "3\r\nabc\r\n0\r\nX: y\r\n\r\n" + "HTTP/1.1 102 Processing\r\nAttempt-Id: two\r\n\r\n"
				+ head("204 None", "one", "") + head("304 None", "one", "Content-Length: 4\r\n"));
		assertThat(ask("GET", "one")).startsWith("HTTP/1.1 200");
		assertThat(ask("GET", "two")).startsWith("HTTP/1.1 200").endsWith("own");
	}

	// Guards against a target that fills the log.
	@Test
	void manyLateAnswersOnAConnectionAreLoggedOnce() throws Exception {
		start(answer("200 OK", "many-1", "second").repeat(MANY));
		assertThat(ask("GET", "many-1")).startsWith("HTTP/1.1 200");
		assertThat(ask("GET", "many-2")).startsWith("HTTP/1.1 200").endsWith("own");
		assertThat(RecordedLog.await("ANSWER_UNMATCHED", "identifier=many-1")).hasSize(1);
	}

}
