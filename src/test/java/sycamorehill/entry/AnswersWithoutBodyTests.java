package sycamorehill.entry;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of answers that have no body by their request or their status.
 */
class AnswersWithoutBodyTests {

	private static final int REQUESTS = 3;

	/** Connections to the target that have carried a request. */
	private final Set<OutputStream> connections = ConcurrentHashMap.newKeySet();

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private void start(String statusLine, String bodyHeaders, String body) throws Exception {
		this.node = CallerNode.start((request, out) -> {
			this.connections.add(out);
			out.write((statusLine + "\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
					+ "\r\nServer-Signature: s\r\n" + bodyHeaders + "\r\n" + body)
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			return true;
		});
	}

	private String askHead(String identifier) throws Exception {
		try (Socket caller = this.node.connect()) {
			CallerNode.send(caller, "HEAD /again/x HTTP/1.1\r\nHost: feed.example\r\nAuthorization: Token key\r\n"
					+ "Attempt-Id: " + identifier + "\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n");
			return CallerNode.readAll(caller);
		}
	}

	// Guards against requests for a head alone that wait for a body until their deadline.
	@Test
	void anAnswerToAHeadRequestEndsWithItsHead() throws Exception {
		start("HTTP/1.1 200 OK", "Content-Length: 5\r\n", "");
		for (int number = 0; number < REQUESTS; number++) {
			assertThat(askHead("head-" + number)).startsWith("HTTP/1.1 200").endsWith("\r\n\r\n");
		}
		assertThat(this.connections).hasSize(1);
	}

	// Guards against a body that is taken for the next answer on its connection.
	@ParameterizedTest
	@ValueSource(strings = { "204 No Content", "304 Not Modified" })
	void aBodyBehindAStatusWithoutOneReachesNoCaller(String status) throws Exception {
		start("HTTP/1.1 " + status, "Content-Length: 5\r\n", "hello");
		for (int number = 0; number < REQUESTS; number++) {
			assertThat(this.node.ask("/again/x", "bare-" + number)).startsWith("HTTP/1.1 " + status)
				.doesNotContain("hello");
		}
		assertThat(this.connections).hasSize(REQUESTS);
	}

}
