package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import sycamorehill.support.RecordedLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback that a node closes connections on which targets send bytes without
 * end, before the deadline and while it serves others.
 */
class EndlessAnswerTests {

	private static final int CALLERS = 50;

	private static final int MAXIMUM_SENT_BYTES_PER_CALLER = 24 * 1024 * 1024;

	private static final int PADDING_BYTES = 6000;

	private static final int ANSWERS = 200;

	private static final Duration MAXIMUM_TIME_OF_OTHERS = Duration.ofSeconds(1);

	/** Shorter than the callers' deadline of 3 s. */
	private static final Duration MAXIMUM_TIME = Duration.ofMillis(2700);

	private final AtomicLong sentBytes = new AtomicLong();

	private LoopbackCluster cluster;

	@AfterEach
	void close() throws IOException {
		this.cluster.close();
	}

	private boolean sendWithoutEnd(Endless kind, String request, OutputStream out) throws IOException {
		byte[] start = kind.start(LoopbackCluster.identifier(request)).getBytes(StandardCharsets.ISO_8859_1);
		byte[] repeated = kind.repeated.repeat(8192 / kind.repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
		out.write(start);
		while (this.sentBytes.addAndGet(repeated.length) < (long) CALLERS * MAXIMUM_SENT_BYTES_PER_CALLER) {
			out.write(repeated);
			out.flush();
		}
		return false;
	}

	private void start(Endless kind) throws Exception {
		RawTarget.Responder plain = (request, out) -> {
			if (LoopbackCluster.identifier(request).startsWith("endless")) {
				return sendWithoutEnd(kind, request, out);
			}
			out.write(LoopbackCluster.hello(request).getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			return true;
		};
		this.cluster = LoopbackCluster.start(plain, plain, List.of(), "one");
	}

	// Guards against memory and connections held by bytes that are no answer.
	@ParameterizedTest
	@EnumSource(Endless.class)
	void theConnectionIsClosedBeforeTheDeadline(Endless kind) throws Exception {
		start(kind);
		Instant started = Instant.now();
		List<Socket> callers = new ArrayList<>();
		for (int number = 0; number < CALLERS; number++) {
			callers.add(this.cluster.open("one", kind.path, "endless-" + kind + "-" + number, "body-" + kind + number));
		}
		for (int number = 0; number < 5; number++) {
			Instant asked = Instant.now();
			assertThat(this.cluster.ask("one", "/once/x", "other-" + kind + "-" + number)).endsWith("hello");
			assertThat(Duration.between(asked, Instant.now())).isLessThan(MAXIMUM_TIME_OF_OTHERS);
		}
		for (Socket caller : callers) {
			String answer = CallerNode.readAll(caller);
			assertThat(answer).satisfiesAnyOf((text) -> assertThat(text).startsWith("HTTP/1.1 5"),
					(text) -> assertThat(text).startsWith("HTTP/1.1 200").doesNotEndWith("\r\n0\r\n\r\n"));
			caller.close();
		}
		assertThat(Duration.between(started, Instant.now())).isLessThan(MAXIMUM_TIME);
		assertThat(RecordedLog.await("REQUEST_FAILED", "request=endless-" + kind + "-0 ")).singleElement()
			.asString()
			.containsPattern("cause='.+ at h\\d|cause='not run by h\\d");
	}

	// Guards against a limit that counts all answers of a kept connection together.
	@Test
	void manyAnswersOnAKeptConnectionAreServed() throws Exception {
		RawTarget.Responder plain = (request, out) -> {
			out.write(LoopbackCluster.hello(request)
				.replace("Server-Signature", "Some: " + "x".repeat(PADDING_BYTES) + "\r\nServer-Signature")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			return true;
		};
		this.cluster = LoopbackCluster.start(plain, plain, List.of(), "one");
		for (int number = 0; number < ANSWERS; number++) {
			assertThat(this.cluster.ask("one", "/once/x", "kept-" + number)).endsWith("hello");
		}
	}

	/**
	 * Bytes that a target sends without end.
	 */
	private enum Endless {

		CONTROL_CHARACTERS("/single/x", "", "\r\n"),

		INTERIM_ANSWERS("/single/x", "", "HTTP/1.1 102 Processing\r\n\r\n"),

		STATUS_LINE("/single/x", "HTTP/1.1 200 ", "O"),

		HEADER_LINE("/single/x", "HTTP/1.1 200 OK\r\nSome: ", "x"),

		HEADER_LINES("/single/x", "HTTP/1.1 200 OK\r\n", "Some: x\r\n"),

		CHUNK_SIZE("/single/x",
				"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n" + "Transfer-Encoding: chunked\r\n\r\n",
				"0"),

		CHUNK_EXTENSION("/single/x",
				"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n" + "Transfer-Encoding: chunked\r\n\r\n4;",
				"x"),

		TINY_CHUNKS("/single/x",
				"HTTP/1.1 500 Error\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n"
						+ "Transfer-Encoding: chunked\r\n\r\n",
				"1\r\nx\r\n"),

		TINY_CHUNKS_OF_A_STREAM("/single/x",
				"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n" + "Transfer-Encoding: chunked\r\n\r\n",
				"1\r\nx\r\n"),

		TRAILERS("/single/x",
				"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n"
						+ "Transfer-Encoding: chunked\r\n\r\n0\r\n",
				"Some: x\r\n"),

		EVENT("/single/x", "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n\r\nid: 1\ndata: ", "x"),

		COMMENTS("/single/x", "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n\r\n", ": x\n"),

		BODY("/single/x", "HTTP/1.1 500 Error\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n\r\n", "x"),

		BODY_OF_REFUSAL("/stream/x", "HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\n\r\n", "x");

		private final String path;

		private final String start;

		private final String repeated;

		Endless(String path, String start, String repeated) {
			this.path = path;
			this.start = start;
			this.repeated = repeated;
		}

		private String start(String identifier) {
			return this.start.replace("ID", identifier);
		}

	}

}
