package sycamorehill.entry;

import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests answers that have neither a length nor chunks, and end with the connection. A
 * target whose process ends may close its connections in order too.
 */
class AnswersEndedByConnectionTests {

	private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

	private static final String CLOSE = "\0";

	private final AtomicReference<CallerNode> started = new AtomicReference<>();

	@AfterEach
	void end() throws Exception {
		this.started.get().close();
	}

	private static String head(String request) {
		int start = request.indexOf("Attempt-Id: ");
		return "HTTP/1.1 200 OK\r\n" + request.substring(start, request.indexOf("\r\n", start))
				+ "\r\nServer-Signature: s1\r\nConnection: close\r\n\r\n";
	}

	private static String event(int number) {
		return "id: " + number + "\ndata: e" + number + "\n\n";
	}

	// The target's port is closed before the connection, as when its process ends.
	private String endTarget(String answer) {
		try {
			this.started.get().close();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
		return answer + CLOSE;
	}

	private String ask(String path, UnaryOperator<String> answers) throws Exception {
		CallerNode node = CallerNode.start(CallerLimits.INITIAL, answers);
		this.started.set(node);
		try (Socket caller = node.connect()) {
			CallerNode.send(caller, CallerNode.request(path, "a1", "Connection: close"));
			return CallerNode.readAll(caller);
		}
	}

	@Test
	void anAnswerThatEndsWithItsConnectionIsWhole() throws Exception {
		String answer = ask("/again/x", (request) -> head(request) + "whole" + CLOSE);
		assertThat(answer).startsWith("HTTP/1.1 200").endsWith("whole");
	}

	@Test
	void anAnswerThatEndsWithItsTargetIsNotWhole() throws Exception {
		assertThat(ask("/again/x", (request) -> endTarget(head(request) + "half"))).startsWith("HTTP/1.1 502");
	}

	@Test
	void aStreamThatEndsWithItsConnectionIsWhole() throws Exception {
		String answer = ask("/single/x", (request) -> head(request) + event(1) + event(2) + CLOSE);
		assertThat(answer).startsWith("HTTP/1.1 200").contains("data: e2").endsWith(LAST_CHUNK);
	}

	// The last event is whole, but the target had more to send.
	@Test
	void aStreamThatEndsWithItsTargetIsNotWhole() throws Exception {
		String answer = ask("/single/x", (request) -> endTarget(head(request) + event(1) + event(2)));
		assertThat(answer).startsWith("HTTP/1.1 200").contains("data: e2").doesNotEndWith(LAST_CHUNK);
	}

	// A target that crashes as it begins to answer has sent its head alone.
	@Test
	void aStreamThatEndsBeforeItsFirstEventIsNotWhole() throws Exception {
		assertThat(ask("/single/x", (request) -> head(request) + CLOSE)).startsWith("HTTP/1.1 502");
	}

	@Test
	void aStreamThatEndsWithinAnEventIsNotWhole() throws Exception {
		String answer = ask("/single/x", (request) -> head(request) + event(1) + "id: 2\nda" + CLOSE);
		assertThat(answer).startsWith("HTTP/1.1 200")
			.contains("data: e1")
			.doesNotContain("id: 2")
			.doesNotEndWith(LAST_CHUNK);
	}

}
