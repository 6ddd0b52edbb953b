package sycamorehill.gateway;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import sycamorehill.local.LocalSystem;
import sycamorehill.model.identity.Address;

/**
 * Requests that can't be served; docs/FAULTS.md lists the same ones.
 */
class FaultyRequestTests {

	private static final String GOOD_KEY = "stable-key-1";

	private static final String CHAT = "{\"model\":\"drafting\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";

	private static final HttpClient CLIENT = HttpClient.newHttpClient();

	private static LocalSystem system;

	@BeforeAll
	static void start() throws Exception {
		system = LocalSystem.start();
		system.fileFirstTicket();
		Assertions.assertThat(system.awaitServing()).isTrue();
	}

	@AfterAll
	static void stop() throws Exception {
		system.close();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			{                                                            | 400 | bad-request
			{"model":"drafting"}                                         | 400 | bad-request
			{"model":"drafting","messages":[{"role":"user"}]}            | 400 | bad-request
			{"model":"","messages":[{"role":"user","content":"a"}]}      | 400 | bad-request
			{"model":"nobody","messages":[{"role":"user","content":"a"}]}| 404 | unknown-service
			{"model":"drafting","max_tokens":0,"messages":[{"role":"user","content":"a"}]} | 400 | bad-request
			""")
	void faultyBodiesAreRefusedAsNotRun(String body, int status, String reason) throws Exception {
		expect(chat(body).build(), status, reason);
	}

	@Test
	void aMissingKeyIsRefused() throws Exception {
		expect(post("/v1/chat/completions", CHAT).build(), 401, "unauthenticated");
	}

	@Test
	void anUnknownKeyIsRefused() throws Exception {
		expect(post("/v1/chat/completions", CHAT).header("Authorization", "Bearer wrong").build(), 401,
				"unauthenticated");
	}

	@Test
	void anOversizedBodyIsRefused() throws Exception {
		expect(chat("x".repeat(1024 * 1024 + 1)).build(), 413, "body-too-large");
	}

	@Test
	void aTimeoutThatIsNoNumberIsRefused() throws Exception {
		expect(chat(CHAT).header("Request-Timeout", "soon").build(), 400, "bad-request");
	}

	@Test
	void anUnknownPriorityIsRefused() throws Exception {
		expect(chat(CHAT).header("Priority", "urgent").build(), 400, "bad-request");
	}

	@Test
	void anUnknownPathIsRefused() throws Exception {
		expect(post("/v2/nothing", CHAT).build(), 404, "unknown-path");
	}

	// A caller's answer stalls because somebody sent garbage to the same node. A
	// connection
	// brings bytes that are no HTTP, then a good request comes. Cause: a parser that
	// fails
	// for one connection must not disturb another.
	@Test
	void garbageOnOneConnectionDisturbsNoOther() throws Exception {
		Address address = callers();
		try (Socket socket = new Socket(address.host(), address.port())) {
			socket.getOutputStream().write("\0\1garbage\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().flush();
			HttpResponse<String> answer = send(chat(CHAT).build());
			Assertions.assertThat(answer.statusCode()).isEqualTo(200);
		}
	}

	private static void expect(HttpRequest request, int status, String reason) throws Exception {
		HttpResponse<String> answer = send(request);
		Assertions.assertThat(answer.statusCode() + " " + answer.body())
			.startsWith(status + " ")
			.contains("\"reason\":\"" + reason + "\"")
			.contains("\"outcome\":\"not-run\"");
	}

	private static HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
		return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private static HttpRequest.Builder chat(String body) {
		return post("/v1/chat/completions", body).header("Authorization", "Bearer " + GOOD_KEY);
	}

	private static HttpRequest.Builder post(String path, String body) {
		return HttpRequest.newBuilder(URI.create("http://" + callers() + path))
			.POST(HttpRequest.BodyPublishers.ofString(body));
	}

	private static Address callers() {
		return system.nodes().get(0).settings().callerAddress();
	}

}
