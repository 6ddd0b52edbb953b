package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.support.RecordedLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which frames of another node, played by the test, count as the answer to a
 * request.
 */
class ProxiedAnswerTests {

	private static final String IDENTIFIER = "a1";

	private PlayedNode otherNode;

	private LoopbackCluster cluster;

	@AfterEach
	void end() throws IOException {
		this.otherNode.close();
		this.cluster.close();
	}

	private void start(BiConsumer<ProxyFrame, PlayedNode.Connection> behaviour) throws Exception {
		this.otherNode = PlayedNode.start(behaviour);
		this.cluster = this.otherNode.startOrigin();
	}

	private void startAccepting(List<ProxyFrame> answer) throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
				answer.forEach(node::send);
			}
		});
	}

	private static ProxyFrame head(int status, String identifier, boolean streaming) {
		return new ProxyFrame.Head(status, "Status", List.of(new ProxyFrame.Header("Attempt-Id", identifier),
				new ProxyFrame.Header("Server-Signature", "s")), streaming);
	}

	private static ProxyFrame head(int status) {
		return head(status, IDENTIFIER, false);
	}

	private static ProxyFrame body(String text) {
		return new ProxyFrame.Body(text.getBytes());
	}

	private static ProxyFrame event(int number) {
		return new ProxyFrame.Event(OptionalLong.of(number),
				("id: " + number + "\ndata: e" + number + "\n\n").getBytes());
	}

	private static ProxyFrame end(AttemptEnd end) {
		return new ProxyFrame.End(Optional.of(TargetName.of("p0")), end);
	}

	private static ProxyFrame delivered(int status) {
		return end(new AttemptEnd.Delivered(status, Duration.ZERO));
	}

	private static List<ProxyFrame> whole(String identifier, String text) {
		return List.of(head(200, identifier, false), body(text), delivered(200));
	}

	private static Named<List<ProxyFrame>> frames(String name, ProxyFrame... frames) {
		return Named.of(name, Arrays.asList(frames));
	}

	static Stream<Named<List<ProxyFrame>>> answersOutOfOrder() {
		return Stream.of(frames("two answers", head(500), body("failure"), head(200), body("success"), delivered(200)),
				frames("another status at the end", head(500), body("failure"), delivered(200)),
				frames("a failure that ends as a success's", head(200), body("success"),
						end(new AttemptEnd.Failed(500))),
				frames("answer to another request", head(200, "a2", false), body("other"), delivered(200)),
				frames("body before the head", body("late"), head(200), body("hello"), delivered(200)),
				frames("accepted twice", new ProxyFrame.Accepted(), head(200), body("hello"), delivered(200)));
	}

	// Guards against a success where the target failed, and a body of two answers.
	@ParameterizedTest
	@MethodSource("answersOutOfOrder")
	void anAnswerWhoseFramesDoNotBelongTogetherIsNotDelivered(List<ProxyFrame> answer) throws Exception {
		startAccepting(answer);
		assertThat(this.cluster.ask("one", "/once/x", IDENTIFIER)).startsWith("HTTP/1.1 502");
	}

	private static ProxyFrame head(int status, String reason, String fieldName, String fieldValue) {
		return new ProxyFrame.Head(
				status, reason, List.of(new ProxyFrame.Header("Attempt-Id", IDENTIFIER),
						new ProxyFrame.Header("Server-Signature", "s"), new ProxyFrame.Header(fieldName, fieldValue)),
				false);
	}

	static Stream<Named<List<ProxyFrame>>> malformedHeads() {
		return Stream.concat(
				IntStream.of(0, 1, 99, 600, 999, -200)
					.mapToObj((status) -> frames("status " + status, head(status), body("hello"), delivered(status))),
				Stream
					.of(head(200, "O\rK", "Some", "x"), head(200, "OK", "", "x"), head(200, "OK", "So me", "x"),
							head(200, "OK", "Some\0", "x"), head(200, "OK", "Some:", "x"),
							head(200, "OK", "Some", "x\r\nA: b"), head(200, "OK", "Some", "x\0"))
					.map((head) -> frames(head.toString(), head, body("hello"), delivered(200))));
	}

	// Guards against a head that is none and reaches a caller from another node.
	@ParameterizedTest
	@MethodSource("malformedHeads")
	void anAnswerWithAMalformedHeadIsNotDelivered(List<ProxyFrame> answer) throws Exception {
		startAccepting(answer);
		assertThat(this.cluster.ask("one", "/once/x", IDENTIFIER)).startsWith("HTTP/1.1 502");
	}

	static Stream<Named<List<ProxyFrame>>> streamsOutOfOrder() {
		return Stream.of(frames("event of no stream", head(200), event(1), delivered(200)),
				frames("event before the head", event(1), head(200, IDENTIFIER, true), delivered(200)),
				frames("body in a stream", head(200, IDENTIFIER, true), body("late"), event(1), delivered(200)));
	}

	// Guards against a stream that looks whole and lacks a part.
	@ParameterizedTest
	@MethodSource("streamsOutOfOrder")
	void aStreamWhoseFramesDoNotBelongTogetherIsNotDelivered(List<ProxyFrame> answer) throws Exception {
		startAccepting(answer);
		assertThat(this.cluster.ask("one", "/single/x", IDENTIFIER)).startsWith("HTTP/1.1 502");
	}

	// Guards against an order that is answered with what another sending of it brought.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x" })
	void aLateAnswerToAnEarlierRequestOnTheConnectionIsNotDelivered(String path) throws Exception {
		AtomicInteger requests = new AtomicInteger();
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				if (requests.incrementAndGet() > 1) {
					whole(IDENTIFIER, "late").forEach(node::send);
				}
				node.send(new ProxyFrame.Accepted());
				whole(IDENTIFIER, "first").forEach(node::send);
			}
		});
		assertThat(this.cluster.ask("one", path, IDENTIFIER)).endsWith("first");
		assertThat(this.cluster.ask("one", path, IDENTIFIER)).startsWith("HTTP/1.1 50").doesNotContain("late");
	}

	// Guards against answers of other nodes that nobody waits for and that leave no
	// trace.
	@Test
	void aFrameThatNoRequestWaitsForIsReportedAndClosesTheConnection() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
				whole(IDENTIFIER, "first").forEach(node::send);
				sleep();
				whole(IDENTIFIER, "late").forEach(node::send);
			}
		});
		int before = RecordedLog.lines("NODE_MESSAGE_UNREADABLE", "no request waits").size();
		assertThat(this.cluster.ask("one", "/again/x", IDENTIFIER)).endsWith("first");
		sleep();
		sleep();
		assertThat(RecordedLog.lines("NODE_MESSAGE_UNREADABLE", "no request waits")).hasSize(before + 1);
		assertThat(this.cluster.ask("one", "/again/x", IDENTIFIER)).endsWith("first");
	}

	private static void sleep() {
		try {
			Thread.sleep(150);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
