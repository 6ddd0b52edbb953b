package sycamorehill.entry;

import java.net.Socket;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a connection which was paused for a slow caller is read again.
 */
class PausedConnectionTests {

	private static final int LARGE_BYTES = 8 * 1024 * 1024;

	private static final int ATTEMPTS = 60;

	private static final long ATTEMPT_MILLIS = 50;

	private static final String EVENT = "id: 1\ndata: e1\n\n";

	private static final String STREAM = "Transfer-Encoding: chunked\r\n\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static String answer(String request) {
		String identifier = LoopbackCluster.identifier(request);
		String head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + identifier + "\r\nServer-Signature: s\r\n";
		return switch (identifier) {
			case "large" -> head + "Content-Length: " + LARGE_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BYTES);
			case "empty" -> head + STREAM + LAST_CHUNK;
			default -> head + STREAM + Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n" + LAST_CHUNK;
		};
	}

	private static boolean isServed(CallerNode node, String identifier) {
		return node.requests().stream().anyMatch((request) -> LoopbackCluster.identifier(request).equals(identifier));
	}

	// Guards against a request that waits for good on a connection that nobody reads.
	@Test
	void anEmptyStreamToASlowCallerLeavesItsConnectionReadable() throws Exception {
		try (CallerNode node = CallerNode.start(CallerLimits.INITIAL, PausedConnectionTests::answer);
				Socket slow = node.connectSlowly()) {
			CallerNode.send(slow, CallerNode.request("/again/x", "large") + CallerNode.request("/single/x", "empty"));
			for (int attempt = 0; attempt < ATTEMPTS && !isServed(node, "empty"); attempt++) {
				Thread.sleep(ATTEMPT_MILLIS);
			}
			Thread.sleep(ATTEMPT_MILLIS);
			assertThat(node.ask("/single/x", "next")).contains("data: e1");
		}
	}

	// Guards against the same on a connection to another node.
	@Test
	void aConnectionToANodeOnWhichNoRequestWaitsIsRead() {
		ProxyChannel connection = ProxyChannel.of(ProxyFrameCodec.create());
		EmbeddedChannel channel = new EmbeddedChannel(connection);
		connection.listen(null);
		connection.pause(true);
		assertThat(channel.config().isAutoRead()).isTrue();
	}

}
