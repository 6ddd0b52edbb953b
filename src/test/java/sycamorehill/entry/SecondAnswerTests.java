package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.support.RecordedLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of a target that answers some requests twice.
 */
class SecondAnswerTests {

	private static final String SECOND_BODY = "second";

	/** The last request on each connection to the target. */
	private final Map<OutputStream, String> lastRequests = new ConcurrentHashMap<>();

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private void start(RawTarget.Responder responder) throws Exception {
		this.node = CallerNode.start(responder);
	}

	private static String answer(String status, String identifier, String body) {
		return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + identifier
				+ "\r\nServer-Signature: s\r\nKeep-Alive: timeout=60\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	private static String notRun(String identifier) {
		return "HTTP/1.1 503 Full\r\nAttempt-Id: " + identifier + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
	}

	// Answers the request before it on the connection once more, and then the request.
	private boolean repeatEarlier(String request, OutputStream out, String status) throws IOException {
		String identifier = LoopbackCluster.identifier(request);
		String earlier = this.lastRequests.put(out, identifier);
		if (earlier != null) {
			RawTarget.write(out, answer("200 OK", earlier, SECOND_BODY));
			RawTarget.write(out, answer(status, identifier, "own"));
		}
		else {
			RawTarget.write(out, answer("200 OK", identifier, "first"));
		}
		return true;
	}

	// Guards against a success where the target fails, if a caller uses an identifier
	// twice.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x" })
	void aLateAnswerToAnEarlierRequestOfTheSameIdentifierIsNotDelivered(String path) throws Exception {
		start((request, out) -> repeatEarlier(request, out, "500 Error"));
		assertThat(this.node.ask(path, "same")).endsWith("first");
		assertThat(this.node.ask(path, "same")).doesNotContain(SECOND_BODY);
	}

	// Guards against an order that fails because the one before it was answered twice.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x" })
	void aLateAnswerToAnEarlierRequestLeavesTheNextOneItsOwn(String path) throws Exception {
		start((request, out) -> repeatEarlier(request, out, "200 OK"));
		assertThat(this.node.ask(path, "one")).endsWith("first");
		assertThat(this.node.ask(path, "two")).startsWith("HTTP/1.1 200").endsWith("own");
		assertThat(this.node.ask(path, "three")).startsWith("HTTP/1.1 200").endsWith("first");
	}

	// Guards against a success where the target also answers with a failure.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x" })
	void aSuccessThatTheTargetContradictsAtOnceIsNotDelivered(String path) throws Exception {
		start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			RawTarget.write(out, answer("200 OK", identifier, "first") + answer("500 Error", identifier, ""));
			return true;
		});
		assertThat(this.node.ask(path, "one")).startsWith("HTTP/1.1 502");
	}

	// Guards against "not run" for an order that the target also answers as done.
	@Test
	void aRefusalThatTheTargetContradictsAtOnceIsNoPromise() throws Exception {
		start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			RawTarget.write(out, notRun(identifier) + answer("200 OK", identifier, SECOND_BODY));
			return true;
		});
		assertThat(this.node.ask("/once/x", "one")).startsWith("HTTP/1.1 502");
	}

	// Guards against "not run" for an order that the target ran, whose failure has the
	// status of a refusal.
	@Test
	void aRefusalBesideAFailureOfTheSameStatusIsNoPromise() throws Exception {
		start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			RawTarget.write(out, notRun(identifier) + answer("503 Error", identifier, "failed"));
			return true;
		});
		assertThat(this.node.ask("/once/x", "one")).startsWith("HTTP/1.1 502");
	}

	// Guards against a sound answer that is refused because a proxy added its address.
	@ParameterizedTest
	@ValueSource(strings = { "192.168.10.20", "192.168.10.20:3128 (squid)" })
	void anAddressBehindAVersionIsNoSecondHead(String proxy) throws Exception {
		start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			RawTarget.write(out,
					answer("200 OK", identifier, "own").replace("\r\n\r\n", "\r\nVia: HTTP/1.1 " + proxy + "\r\n\r\n"));
			return true;
		});
		assertThat(this.node.ask("/once/x", "one")).startsWith("HTTP/1.1 200").endsWith("own");
	}

	// Guards against second answers that leave no trace.
	@Test
	void aSecondAnswerIsLoggedWithItsConnection() throws Exception {
		start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			RawTarget.write(out, answer("200 OK", identifier, "first"));
			RawTarget.write(out, answer("200 OK", identifier, SECOND_BODY));
			return true;
		});
		assertThat(this.node.ask("/once/x", "twice")).endsWith("first");
		assertThat(RecordedLog.await("ANSWER_UNMATCHED", "identifier=twice ", "answered=twice")).singleElement()
			.asString()
			.containsPattern(" target=p1 connection=\\d+/1 status=200 ");
		assertThat(this.node.metrics()).contains("targets_unmatched_answers 1.0");
	}

}
