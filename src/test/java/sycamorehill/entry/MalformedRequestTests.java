package sycamorehill.entry;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of requests whose bytes a target could read in another way.
 */
class MalformedRequestTests {

	private final List<String> reached = new CopyOnWriteArrayList<>();

	private CallerNode node;

	@BeforeEach
	void start() throws Exception {
		this.node = CallerNode.start((request, out) -> {
			this.reached.add(request);
			RawTarget.write(out, LoopbackCluster.hello(request));
			return true;
		});
	}

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private String send(String request) throws Exception {
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, request);
			return CallerNode.readAll(socket);
		}
	}

	// Guards against a line of a caller that reaches a target as another header.
	@ParameterizedTest
	@ValueSource(strings = { "So me: x", "Some : x", "Some\t: x", " Some: x", "Some\0: x", "\0Some: x", "So\u0001me: x",
			"Some\u007f: x", "So(me: x", ": x", "Some", "Some: x\0y", "Some: x\u0001y", "Some: x\ry: z",
			"Some: x\r\n folded", "Content-Length : 3", "Content-Length\0: 3", "Transfer-Encoding : chunked" })
	void aRequestWithALineThatIsNoFieldIsRefused(String line) throws Exception {
		assertThat(send(CallerNode.request("/once/x", "one", line, "Connection: close"))).startsWith("HTTP/1.1 400");
		assertThat(this.reached).isEmpty();
	}

	// Guards against a body in which a second request is hidden.
	@ParameterizedTest
	@ValueSource(strings = { "5 x\r\nhello\r\n0\r\nSo me: x\r\n\r\n", "+5\r\nhello\r\n0\r\n\r\n",
			"10000000000000005\r\nhello\r\n0\r\n\r\n", "5\r\nhellox\r\n0\r\n\r\n", "5;\0\r\nhello\r\n0\r\n\r\n" })
	void aRequestWithMalformedChunksIsRefused(String chunks) throws Exception {
		assertThat(send("POST /once/x HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: one\r\n"
				+ "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + chunks))
			.startsWith("HTTP/1.1 400");
		assertThat(this.reached).isEmpty();
	}

	// Guards against sound requests that are refused.
	@ParameterizedTest
	@ValueSource(strings = { "Some: x", "Some:", "!#$%&'*+-.^_`|~9: \t x\t ", "Some: gr\u00fcn" })
	void aSoundRequestIsServed(String line) throws Exception {
		assertThat(send(CallerNode.request("/once/x", "one", line, "Connection: close"))).startsWith("HTTP/1.1 200");
		assertThat(this.reached).hasSize(1);
	}

}
