package sycamorehill.entry;

import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import sycamorehill.model.serving.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of answers to requests for a head alone.
 */
class HeadRequestTests {

	private CallerNode node;

	@BeforeEach
	void start() throws Exception {
		this.node = CallerNode.start((request, out) -> {
			String body = request.startsWith("HEAD") ? "" : "own body";
			out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
					+ "\r\nServer-Signature: s\r\nContent-Length: 8\r\n\r\n" + body)
				.getBytes(StandardCharsets.ISO_8859_1));
			return true;
		});
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

	// Guards against a target's answer that is given up because its body never comes.
	@Test
	void aTargetsAnswerToARequestForAHeadKeepsItsLength() throws Exception {
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket,
					request("HEAD", "/again/x", "") + request("GET", "/again/x", "Connection: close\r\n"));
			assertThat(CallerNode.readAll(socket).toLowerCase()).matches(
					"(?s)http/1.1 200 (?:(?!\r\n\r\n).)*content-length: 8(?:(?!\r\n\r\n).)*\r\n\r\nhttp/1.1 200 .*own body");
		}
	}

	private String refusal(String headers) throws Exception {
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket, request("HEAD", "/again/x", headers) + request("GET", "/again/x", ""));
			return CallerNode.readAll(socket);
		}
	}

	// Guards against a body behind the refusal of a request for a head, and against an
	// answer behind it.
	@ParameterizedTest
	@CsvSource({ "400, Host: other.example", "400, Transfer-Encoding: gzip", "413, Content-Length: 999999999" })
	void aRefusedRequestForAHeadGetsNoBodyAndEndsItsConnection(int status, String header) throws Exception {
		assertThat(refusal(header + "\r\n")).startsWith("HTTP/1.1 " + status)
			.contains("content-length: ", "connection: close")
			.matches("(?s)(?:(?!\r\n\r\n).)*\r\n\r\n");
	}

	// Guards against a body behind the refusal of a head that is too large.
	@Test
	void aTooLargeRequestForAHeadGetsNoBodyAndEndsItsConnection() throws Exception {
		assertThat(refusal("Large: " + "x".repeat(CallerLimits.INITIAL.maximumHeaderBytes()) + "\r\n"))
			.startsWith("HTTP/1.1 431")
			.contains("content-length: ", "connection: close")
			.matches("(?s)(?:(?!\r\n\r\n).)*\r\n\r\n");
	}

	// Guards against a refusal without its reason after a request for a head.
	@Test
	void aRefusedRequestBehindOneForAHeadGetsItsBody() throws Exception {
		try (Socket socket = this.node.connect()) {
			CallerNode.send(socket,
					request("HEAD", "/again/x", "") + request("GET", "/again/x", "Host: other.example\r\n"));
			assertThat(CallerNode.readAll(socket))
				.matches("(?s)HTTP/1.1 200 (?:(?!\r\n\r\n).)*\r\n\r\nHTTP/1.1 400 (?:(?!\r\n\r\n).)*\r\n\r\n[^\r]+");
		}
	}

}
