package sycamorehill.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests a complete entry node over loopback with raw sockets: the exact bytes that faulty
 * callers and targets get.
 */
class EntryNodeTests {

	private static final String SIGNED_ANSWER = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
			+ "Content-Length: 5\r\n\r\nhello";

	private RawTarget target;

	private EntrySettings settings;

	@AfterEach
	void end() throws IOException {
		if (this.target != null) {
			this.target.close();
		}
	}

	private void start(UnaryOperator<String> answers) throws Exception {
		this.target = RawTarget.start(answers);
		startBefore(this.target.address());
	}

	private void startBefore(Address targetAddress) throws Exception {
		this.settings = settings();
		EntryNode.start(this.settings, (client) -> ports(targetAddress), Clock.systemUTC(), new Random(1));
		awaitRoutes();
	}

	// Waits until the node has read its configuration and targets; before, it answers
	// 503.
	private void awaitRoutes() throws Exception {
		for (int attempt = 0; attempt < 100; attempt++) {
			if (ask("GET /nowhere/ HTTP/1.1\r\nHost: feed.example\r\nConnection: close\r\n\r\n")
				.startsWith("HTTP/1.1 404")) {
				return;
			}
			Thread.sleep(20);
		}
		throw new AssertionError("the node has not read its configuration");
	}

	private static EntrySettings settings() {
		List<Address> free = FreePorts.find(5);
		return new EntrySettings("one", DataCentreName.of("north"), List.of(DataCentreName.of("north")), 0.75, 4200,
				free.get(0), free.get(1), free.get(2), free.get(4), free.get(3), true, Duration.ofSeconds(8),
				Duration.ofMillis(100), 0.2, 60, Duration.ofSeconds(5), Duration.ofSeconds(5));
	}

	private static EntryPorts ports(Address targetAddress) {
		TargetEntry plain = ServingSamples.plain("p1");
		TargetEntry entry = new TargetEntry(plain.name(), plain.service(), targetAddress, plain.dataCentre(), 6, false,
				1, Optional.empty(), plain.staged(), Optional.empty(), Optional.empty());
		return new EntryPorts(PlatformTestCodec.create(),
				FakePorts.FixedFeed.of(new StoredConfiguration(ServingSamples.configuration(1), "")),
				(text) -> new StoredConfiguration(ServingSamples.configuration(2), text),
				FakePorts.FixedFeed.of(new TargetChange(entry.name(), Optional.of(entry))), FakePorts.registry(),
				new FakePorts.UnavailableLeaseStore(), new FakePorts.UnreachableEngines());
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.settings.callerAddress().port());
		socket.setSoTimeout(3000);
		return socket;
	}

	private String ask(String request) throws IOException {
		try (Socket socket = connect()) {
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return readAll(socket);
		}
	}

	private static String readAll(Socket socket) throws IOException {
		StringBuilder text = new StringBuilder();
		InputStream in = socket.getInputStream();
		try {
			for (int next = in.read(); next >= 0; next = in.read()) {
				text.append((char) next);
			}
		}
		catch (SocketTimeoutException ex) {
			text.append("[open]");
		}
		return text.toString();
	}

	private static String request(String method, String path, String more) {
		return method + ' ' + path + " HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: a1\r\nAuthorization: Token key\r\n"
				+ "Deadline-Ms: 2000\r\nConnection: close\r\n" + more;
	}

	// The metrics must show the number, outcome and duration of requests for each
	// service.
	@Test
	void metricsCountRequestsByOutcome() throws Exception {
		start((request) -> SIGNED_ANSWER);
		ask(request("POST", "/once/x", "Content-Length: 3\r\n\r\nabc"));
		ask(request("GET", "/nowhere/", "\r\n"));
		String page = metricsPage("/metrics");
		assertThat(page).startsWith("HTTP/1.1 200")
			.contains("requests_desk_SERVED 1.0", "requests_desk_SERVED_time_count 1.0", "configuration_version 1.0",
					"requests_active 0.0", "targets_known 1.0", "events_REQUEST_REFUSED");
		assertThat(metricsPage("/other")).startsWith("HTTP/1.1 404");
	}

	// The only target fails, so its retry is allowed and finds no other target.
	@Test
	void metricsCountRetriesAndShowTheShareOfTheBudget() throws Exception {
		start((request) -> SIGNED_ANSWER.replace("200 OK", "500 Error"));
		for (int attempt = 0; attempt < 300 && metricsPage("/metrics").contains("retries_share 0.0"); attempt++) {
			Thread.sleep(20);
		}
		ask(request("GET", "/again/x", "\r\n"));
		assertThat(metricsPage("/metrics")).contains("retries_desk_allowed 1.0", "retries_share 60.0",
				"retries_share_nodes 1.0");
	}

	private String metricsPage(String path) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.settings.peerAddress().port())) {
			socket.setSoTimeout(3000);
			socket.getOutputStream()
				.write(("GET " + path + " HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			return readAll(socket);
		}
	}

	@Test
	void forwardsRequestWithoutApiKeyAndReturnsAnswer() throws Exception {
		start((request) -> SIGNED_ANSWER);
		assertThat(ask(request("POST", "/once/x?y=1", "Content-Length: 3\r\n\r\nabc"))).startsWith("HTTP/1.1 200")
			.contains("Server-Signature: s")
			.endsWith("hello");
		String seen = this.target.requests().get(0);
		assertThat(seen).startsWith("POST /once/x?y=1 HTTP/1.1\r\n")
			.contains("Expect-Instance: p1", "Tenant: yard", "Attempt-Id: a1")
			.doesNotContain("Authorization", "Connection: close")
			.endsWith("abc");
	}

	// Without a reset, bytes that a partition holds up would still arrive when it ends,
	// long after the request was cancelled.
	@Test
	void anAttemptThatIsCancelledBeforeItsAnswerIsReset() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
			startBefore(Address.of("127.0.0.1", server.getLocalPort()));
			Socket caller = connect();
			caller.getOutputStream().write(request("GET", "/again/x", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			try (Socket received = server.accept()) {
				received.setSoTimeout(3000);
				InputStream in = received.getInputStream();
				while (in.read() != '\n' || in.available() > 0) {
					continue;
				}
				caller.close();
				assertThatThrownBy(in::read).isInstanceOf(SocketException.class).hasMessageContaining("reset");
			}
		}
	}

	// Request smuggling: a caller hides a second request in the body of the first by
	// sending two lengths. A target that uses the other length would execute the hidden
	// request.
	@Test
	void refusesRequestWithAmbiguousLength() throws Exception {
		start((request) -> SIGNED_ANSWER);
		for (String framing : List.of(
				"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/h HTTP/1.1\r\n\r\n",
				"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
				"Content-Length: +4\r\n\r\nabcd", "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n")) {
			assertThat(ask(request("POST", "/once/x", framing))).as(framing).startsWith("HTTP/1.1 400");
		}
		assertThat(this.target.requests()).isEmpty();
	}

	@Test
	void refusesTooLargeHeadAndBody() throws Exception {
		start((request) -> SIGNED_ANSWER);
		assertThat(ask(request("GET", "/once/x", "Filler: " + "x".repeat(20_000) + "\r\n\r\n")))
			.startsWith("HTTP/1.1 431");
		assertThat(ask(request("POST", "/once/x", "Content-Length: 99999999\r\n\r\n"))).startsWith("HTTP/1.1 413");
		assertThat(this.target.requests()).isEmpty();
	}

	// Many callers send large bodies at once, each within its own limit: the node must
	// refuse some of them instead of running out of memory, which would cut all streams.
	@Test
	void bodiesOfAllCallersTogetherAreLimited() throws Exception {
		start((request) -> SIGNED_ANSWER);
		int length = 4 * 1024 * 1024;
		List<Socket> callers = new ArrayList<>();
		int held = CallerServer.MAXIMUM_BODY_BYTES / length;
		for (int number = 0; number < held; number++) {
			callers.add(connect());
			callers.get(number)
				.getOutputStream()
				.write(request("POST", "/once/x", "Content-Length: " + length + "\r\n\r\n" + "x".repeat(length - 1))
					.getBytes(StandardCharsets.ISO_8859_1));
		}
		Thread.sleep(500);
		assertThat(ask(request("POST", "/once/x", "Content-Length: 1000\r\n\r\n" + "x".repeat(1000))))
			.startsWith("HTTP/1.1 503")
			.containsPattern("(?i)retry-after: 1");
		for (Socket caller : callers) {
			caller.close();
		}
		Thread.sleep(300);
		assertThat(ask(request("POST", "/once/x", "Content-Length: 1000\r\n\r\n" + "x".repeat(1000))))
			.startsWith("HTTP/1.1 200");
	}

	// The answer to another request arrives instead of the expected one: the caller must
	// not get it, and must not be told that its order did not run.
	@Test
	void rejectsAnswerToAnotherRequest() throws Exception {
		start((request) -> SIGNED_ANSWER.replace("a1", "other"));
		assertThat(ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"))).startsWith("HTTP/1.1 502");
	}

	// A target closes the connection within a plain answer: the caller must not get a
	// part of it as a success.
	@Test
	void holdsPlainAnswerUntilComplete() throws Exception {
		start((request) -> SIGNED_ANSWER.replace("hello", "he") + '\0');
		assertThat(ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"))).startsWith("HTTP/1.1 502")
			.doesNotContain("he\r\n");
	}

	// A target sends more bytes after a complete answer. They belong to no request: the
	// next request on the same connection of the caller must get its own answer.
	@Test
	void dropsBytesAfterCompleteAnswer() throws Exception {
		start((request) -> SIGNED_ANSWER + SIGNED_ANSWER.replace("hello", "EXTRA"));
		String kept = request("POST", "/once/x", "Content-Length: 0\r\n\r\n").replace("Connection: close\r\n", "");
		try (Socket socket = connect()) {
			socket.setSoTimeout(600);
			socket.getOutputStream().write((kept + kept).getBytes(StandardCharsets.ISO_8859_1));
			String answers = readAll(socket);
			assertThat(answers).doesNotContain("EXTRA");
			assertThat(answers.split("HTTP/1.1 ", -1)).hasSize(3);
		}
	}

	@Test
	void forwardsFailureOfTarget() throws Exception {
		start((request) -> SIGNED_ANSWER.replace("200 OK", "500 Server Error"));
		assertThat(ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"))).startsWith("HTTP/1.1 500")
			.contains("Server-Signature: s");
	}

	@Test
	void sendsRetryAfterWhenTargetRefuses() throws Exception {
		start((request) -> "HTTP/1.1 503 Full\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
		assertThat(ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"))).startsWith("HTTP/1.1 503")
			.containsPattern("(?i)retry-after: 0\\.\\d+");
	}

	@Test
	void refusesUnknownApiKeyAndPath() throws Exception {
		start((request) -> SIGNED_ANSWER);
		assertThat(ask(request("GET", "/once/x", "\r\n").replace("Token key", "Token other")))
			.startsWith("HTTP/1.1 401");
		assertThat(ask(request("GET", "/elsewhere/x", "\r\n"))).startsWith("HTTP/1.1 404");
	}

	// The store may list a target as ready for long after it has said that it leaves.
	@Test
	void targetThatSaysThatItLeavesReceivesNoFurtherRequests() throws Exception {
		start((request) -> SIGNED_ANSWER.replace("Content-Length", "Server-Leaving: 1\r\nContent-Length"));
		assertThat(ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"))).startsWith("HTTP/1.1 200");
		assertThat(ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"))).startsWith("HTTP/1.1 503");
		assertThat(this.target.requests()).hasSize(1);
	}

	// A target that asked for rest must not get requests because it looks free.
	@Test
	void targetThatAskedForRestReceivesNoRequests() throws Exception {
		AtomicInteger answered = new AtomicInteger();
		start((request) -> (answered.incrementAndGet() == 1)
				? "HTTP/1.1 503 Full\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
				: SIGNED_ANSWER);
		String request = request("POST", "/once/x", "Content-Length: 0\r\n\r\n");
		assertThat(ask(request)).startsWith("HTTP/1.1 503");
		Instant refusedAt = Instant.now();
		while (Instant.now().isBefore(refusedAt.plusMillis(1800))) {
			assertThat(ask(request)).startsWith("HTTP/1.1 503");
			Thread.sleep(95);
		}
		assertThat(answered.get()).isEqualTo(1);
		Thread.sleep(300);
		assertThat(ask(request)).startsWith("HTTP/1.1 200");
	}

	// A caller that is told to come back while its targets rest is refused again.
	@Test
	void callerIsToldWhenATargetThatAskedForRestServesAgain() throws Exception {
		start((request) -> "HTTP/1.1 503 Full\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
		ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"));
		Thread.sleep(500);
		String answer = ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"));
		Matcher retryAfter = Pattern.compile("(?i)retry-after: ([0-9.]+)").matcher(answer);
		assertThat(retryAfter.find()).isTrue();
		assertThat(Double.parseDouble(retryAfter.group(1))).isBetween(1.2, 2.1);
	}

	// Without rate limiting, a target gets more requests than the limit that it reported.
	@Test
	void rateLimitOfTargetIsRespected() throws Exception {
		start((request) -> SIGNED_ANSWER.replace("Content-Length", "Server-Limit: 1.0\r\nContent-Length"));
		ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"));
		Thread.sleep(500);
		int before = this.target.requests().size();
		for (Instant end = Instant.now().plusSeconds(4); Instant.now().isBefore(end);) {
			ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"));
			Thread.sleep(95);
		}
		assertThat(this.target.requests().size() - before).isBetween(1, 11);
	}

	// An answer without a signature, for example corrupted bytes, must not be taken as a
	// report that the target has no rate limit any more.
	@Test
	void unsignedAnswerDoesNotLiftRateLimit() throws Exception {
		AtomicInteger answered = new AtomicInteger();
		start((request) -> (answered.incrementAndGet() == 2) ? SIGNED_ANSWER.replace("Server-Signature: s\r\n", "")
				: SIGNED_ANSWER.replace("Content-Length", "Server-Limit: 0.5\r\nContent-Length"));
		ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"));
		Thread.sleep(2200);
		ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"));
		Thread.sleep(400);
		for (int asked = 0; asked < 3; asked++) {
			ask(request("POST", "/once/x", "Content-Length: 0\r\n\r\n"));
		}
		assertThat(answered.get()).isEqualTo(2);
	}

}
