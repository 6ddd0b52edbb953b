package sycamorehill.entry;

import java.net.Socket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of answers to requests for a head alone.
 */
class HeadRequestTests {

	private CallerNode node;

	@BeforeEach
	void start() throws Exception {
		this.node = CallerNode.start((request, out) -> false);
	}

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private static String request(String method, String path, String headers) {
		return method + ' ' + path + " HTTP/1.1\r\nHost: feed.example\r\nAuthorization: Token key\r\nAttempt-Id: "
				+ method + "\r\n" + headers + "\r\n";
	}

	// Guards against a body that the caller takes for the answer to its next request.
	@Test
	void theNodesOwnAnswerToARequestForAHeadHasNoBody() throws Exception {
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket,
					request("HEAD", "/nowhere/", "") + request("GET", "/nowhere/", "Connection: close\r\n"));
			assertThat(CallerNode.readAll(socket))
				.matches("(?s)HTTP/1.1 404 (?:(?!\r\n\r\n).)*\r\n\r\nHTTP/1.1 404 (?:(?!\r\n\r\n).)*\r\n\r\n[^\r]+");
		}
	}

}
