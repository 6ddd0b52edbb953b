package sycamorehill.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback which heads count as those of a target's answer, and which of its
 * bytes as its body.
 */
class AnswerHeadTests {

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private void start(RawTarget.Responder responder) throws Exception {
		this.node = CallerNode.start(responder);
	}

	private static String answer(String request, String status, String headers, String body) {
		return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + LoopbackCluster.identifier(request) + "\r\n" + headers
				+ "Server-Signature: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static RawTarget.Responder answering(String status, String headers, String body) {
		return RawTarget.responder((request) -> answer(request, status, headers, body));
	}

	// Guards against a success whose body is not the target's.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x", "/single/x" })
	void anEncodedBodyIsNoAnswer(String path) throws Exception {
		start(answering("200 OK", "Content-Encoding: gzip\r\n", "id: 1\ndata: hello\n\n"));
		assertThat(this.node.ask(path, "one")).startsWith("HTTP/1.1 502");
	}

	// Guards against a failure whose body is not the target's.
	@Test
	void aFailureWithAnEncodedBodyIsNoAnswer() throws Exception {
		start(answering("404 Not Found", "Content-Encoding: gzip\r\n", "hello"));
		assertThat(this.node.ask("/once/x", "one")).startsWith("HTTP/1.1 502");
	}

	// Guards against an order that is told unknown although its target did not run it.
	@Test
	void aRefusalStaysOneWhateverItsBody() throws Exception {
		start(answering("503 Full", "Content-Encoding: gzip\r\nNot-Executed: 1\r\n", "hello"));
		assertThat(this.node.ask("/once/x", "one")).startsWith("HTTP/1.1 503");
	}

	// Guards against an answer that names two requests and is delivered to one of them.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x" })
	void anAnswerWithTwoIdentifiersIsNoAnswer(String path) throws Exception {
		start(answering("200 OK", "Attempt-Id: two\r\n", "hello"));
		assertThat(this.node.ask(path, "one")).startsWith("HTTP/1.1 502");
	}

	@Test
	void anIdentifierThatStandsTwiceIsOne() throws Exception {
		start(answering("200 OK", "Attempt-Id: one\r\n", "hello"));
		assertThat(this.node.ask("/once/x", "one")).startsWith("HTTP/1.1 200").endsWith("hello");
	}

	// Guards against an answer to a request whose identifier differs in case only.
	@Test
	void identifiersAreComparedWithTheirCase() throws Exception {
		start(RawTarget.responder((request) -> answer(request, "200 OK", "", "hello").replace("One", "oNE")));
		assertThat(this.node.ask("/once/x", "One")).startsWith("HTTP/1.1 502");
	}

	@Test
	void blanksAroundAnIdentifierDoNotCount() throws Exception {
		start(RawTarget.responder((request) -> answer(request, "200 OK", "", "hello").replace(": one", ":   one  ")));
		assertThat(this.node.ask("/once/x", "one")).startsWith("HTTP/1.1 200").endsWith("hello");
	}

	// Guards against a body of an answer that has none, taken for the next answer.
	@ParameterizedTest
	@ValueSource(strings = { "204 No Content", "304 Not Modified" })
	void bytesBehindAnAnswerWithoutABodyReachNobody(String status) throws Exception {
		start(RawTarget.responder((request) -> answer(request, status, "",
				request.contains(": empty") ? answer(request.replace("empty", "next"), "200 OK", "", "late") : "")));
		assertThat(this.node.ask("/once/x", "empty")).startsWith("HTTP/1.1 " + status.substring(0, 3))
			.endsWith("\r\n\r\n");
		assertThat(this.node.ask("/once/x", "next")).startsWith("HTTP/1.1 " + status.substring(0, 3))
			.endsWith("\r\n\r\n");
	}

	// Guards against callers that get each other's answers because they chose one
	// identifier.
	@Test
	void callersWithOneIdentifierAtOnceGetTheirOwnAnswers() throws Exception {
		start((request, out) -> {
			String path = request.substring(request.indexOf('/'), request.indexOf(" HTTP"));
			sleep();
			out.write(answer(request, "200 OK", "", path).getBytes());
			out.flush();
			return true;
		});
		ExecutorService callers = Executors.newFixedThreadPool(8);
		try {
			for (int round = 0; round < 3; round++) {
				List<Callable<String>> calls = IntStream.range(0, 8)
					.<Callable<String>>mapToObj((caller) -> () -> this.node.ask("/again/" + caller, "same"))
					.toList();
				List<Future<String>> answers = callers.invokeAll(calls);
				for (int caller = 0; caller < answers.size(); caller++) {
					assertThat(answers.get(caller).get()).startsWith("HTTP/1.1 200").endsWith("/again/" + caller);
				}
			}
		}
		finally {
			callers.shutdownNow();
		}
	}

	// Guards against pipelined requests whose answers change places.
	@Test
	void pipelinedRequestsWithOneIdentifierAreAnsweredInOrder() throws Exception {
		start(RawTarget.responder((request) -> answer(request, "200 OK", "",
				request.substring(request.indexOf('/'), request.indexOf(" HTTP")))));
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket,
					CallerNode.request("/again/first", "same") + CallerNode.request("/once/second", "same")
							+ CallerNode.request("/again/third", "same", "Connection: close"));
			String answers = CallerNode.readAll(socket);
			assertThat(answers).containsSubsequence("\r\n\r\n/again/first", "\r\n\r\n/once/second",
					"\r\n\r\n/again/third");
		}
	}

	private static void sleep() throws IOException {
		try {
			Thread.sleep(20);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

}
