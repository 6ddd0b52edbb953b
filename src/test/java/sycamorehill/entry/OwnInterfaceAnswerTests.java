package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.engine.AttemptListener;
import sycamorehill.engine.CompletionCall;
import sycamorehill.engine.HttpEngine;
import sycamorehill.engine.HttpPlainService;
import sycamorehill.engine.PlainAnswer;
import sycamorehill.engine.PlainCall;
import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpClientPool;
import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RecordedAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of plain services that answer the product's own interface twice,
 * and of services and engines whose answers only their connections end.
 */
class OwnInterfaceAnswerTests {

	private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

	private static final String FAILURE = "HTTP/1.1 500 Error\r\nContent-Length: 6\r\n\r\nfailed";

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final CompletionCall COMPLETION = new CompletionCall(
			AttemptIdentifier.of(NodeIncarnation.of(NodeName.of("node-1"), 1), 1), 1, "prompt", 1, 0, Priority.NORMAL,
			TIMEOUT);

	private final HttpClientPool clients = HttpClientPool.createWithoutReuse(TIMEOUT);

	private final Set<OutputStream> usedConnections = ConcurrentHashMap.newKeySet();

	@AfterEach
	void end() {
		this.clients.close();
	}

	private Optional<RecordedAnswer> ask(RawTarget service, String path) {
		PlainCall call = new PlainCall("GET", path, Optional.empty(), Optional.empty(), Optional.empty(), TIMEOUT);
		return HttpPlainService.create(BufferedHttpClient.create(this.clients))
			.send(service.address(), call)
			.join()
			.answer();
	}

	// Guards against a success where the service answered with a failure.
	@ParameterizedTest
	@ValueSource(strings = { SUCCESS, "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX: a" })
	void whatIsLeftOfAnEarlierAnswerIsNotTakenForTheNextOne(String left) throws Exception {
		try (RawTarget service = RawTarget.start((request, out) -> {
			if (!this.usedConnections.add(out)) {
				RawTarget.write(out, left);
			}
			RawTarget.write(out, request.startsWith("GET /one") ? SUCCESS : FAILURE);
			return true;
		})) {
			assertThat(ask(service, "/one").map(RecordedAnswer::status)).contains(200);
			assertThat(ask(service, "/two").map(RecordedAnswer::status)).isNotEqualTo(Optional.of(200));
		}
	}

	// Guards against an answer whose head is none, which a caller gets as an answer with
	// that status, that line or a part of the body.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 99 OK", "HTTP/1.1 20 OK",
			"HTTP/1.1 2000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 +200 OK",
			"HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200 OK\r\nSo me: x", "HTTP/1.1 200 OK\r\nSome : x",
			"HTTP/1.1 200 OK\r\nSo\u0000me: x", "HTTP/1.1 200 OK\r\nSome\u0001: x", "HTTP/1.1 200 OK\r\n\u0000Some: x",
			"HTTP/1.1 200 OK\r\nContent-Length\u0000: 2", "HTTP/1.1 200 OK\r\nContent-Length\t: 2",
			"HTTP/1.1 200 OK\r\nSome: a\u0000b" })
	void anAnswerWithAMalformedHeadIsNoAnswer(String head) throws Exception {
		try (RawTarget service = RawTarget.start((request, out) -> {
			RawTarget.write(out, head + "\r\nContent-Length: 5\r\n\r\nfirst");
			return true;
		})) {
			assertThat(ask(service, "/one")).isEmpty();
		}
	}

	private RawTarget startUnframed(String status) throws IOException {
		return RawTarget.start((request, out) -> {
			RawTarget.write(out, "HTTP/1.1 " + status + "\r\nNot-Run: true\r\nConnection: close\r\n\r\nbo");
			return false;
		});
	}

	// Guards against an order that counts as done, or as refused, by a part of an answer.
	@ParameterizedTest
	@ValueSource(strings = { "200 OK", "503 Unavailable" })
	void anOrderWhoseAnswerMayBeCutOffHasAnUnknownOutcome(String status) throws Exception {
		PlainCall order = new PlainCall("POST", "/order", Optional.empty(), Optional.empty(), Optional.of("{}"),
				TIMEOUT);
		try (RawTarget service = startUnframed(status)) {
			PlainAnswer answer = HttpPlainService.create(BufferedHttpClient.create(this.clients))
				.send(service.address(), order)
				.join();
			assertThat(answer.answer()).isEmpty();
			assertThat(answer.result()).isInstanceOf(AttemptResult.Interrupted.class);
		}
	}

	// Guards against the same for an order to an engine.
	@ParameterizedTest
	@ValueSource(strings = { "202 Accepted", "409 Conflict" })
	void anOrderToAnEngineWhoseAnswerMayBeCutOffHasAnUnknownOutcome(String status) throws Exception {
		GroupIdentity group = GroupIdentity.of(GroupName.of(GroupSetName.of("small"), 0), 1);
		EngineCommand leave = new EngineCommand.Leave(group, 1);
		try (RawTarget engine = startUnframed(status)) {
			assertThat(HttpEngine.create(this.clients, new ObjectMapper()).sendCommand(engine.address(), leave))
				.succeedsWithin(TIMEOUT)
				.isEqualTo(EngineCommandResult.NOT_KNOWN);
		}
	}

	// Guards against the same by an answer whose head is none.
	@Test
	void anOrderToAnEngineWhoseAnswerHasNoStatusHasAnUnknownOutcome() throws Exception {
		EngineCommand leave = new EngineCommand.Leave(GroupIdentity.of(GroupName.of(GroupSetName.of("small"), 0), 1),
				1);
		try (RawTarget engine = RawTarget.start((request, out) -> {
			RawTarget.write(out, "HTTP/1.1 600 Done\r\nContent-Length: 2\r\n\r\n{}");
			return true;
		})) {
			assertThat(HttpEngine.create(this.clients, new ObjectMapper()).sendCommand(engine.address(), leave))
				.succeedsWithin(TIMEOUT)
				.isEqualTo(EngineCommandResult.NOT_KNOWN);
		}
	}

	// Guards against a completion that counts as refused, and goes elsewhere, by a part
	// of
	// an answer.
	@Test
	void aRefusalOfAnEngineThatMayBeCutOffIsAnInterruption() throws Exception {
		CompletableFuture<AttemptResult> end = new CompletableFuture<>();
		AttemptListener listener = new AttemptListener() {

			@Override
			public void handleToken(int index, String token) {
				end.completeExceptionally(new AssertionError(token));
			}

			@Override
			public void handleEnd(AttemptResult result) {
				end.complete(result);
			}

		};
		try (RawTarget engine = startUnframed("503 Unavailable")) {
			HttpEngine.create(this.clients, new ObjectMapper()).complete(engine.address(), COMPLETION, listener);
			assertThat(end).succeedsWithin(TIMEOUT).isInstanceOf(AttemptResult.Interrupted.class);
		}
	}

}
