package sycamorehill.entry;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.support.RecordedLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the node "one", which reaches no target, before another node that the test plays:
 * one that is killed, paused or faulty at each point of a request.
 */
class ProxyAttemptTests {

	private PlayedNode otherNode;

	private LoopbackCluster cluster;

	private void start(BiConsumer<ProxyFrame, PlayedNode.Connection> behaviour) throws Exception {
		this.otherNode = PlayedNode.start(behaviour);
		this.cluster = this.otherNode.startOrigin();
	}

	@AfterEach
	void end() throws IOException {
		this.otherNode.close();
		this.cluster.close();
	}

	// Without a reset, the other node would receive the request when a partition ends,
	// long
	// after it was cancelled.
	@Test
	void aRequestThatIsCancelledBeforeItsAnswerIsReset() throws Exception {
		start((frame, node) -> {
		});
		int before = this.otherNode.resets();
		Socket caller = this.cluster.open("one", "/again/x", "left", "abc");
		for (int attempt = 0; attempt < 20 && this.otherNode.received().size() < 2; attempt++) {
			Thread.sleep(5);
		}
		caller.close();
		Thread.sleep(150);
		assertThat(this.otherNode.resets()).isEqualTo(before + 1);
	}

	private boolean wasConfirmed() {
		return this.otherNode.received().stream().anyMatch(ProxyFrame.Confirmed.class::isInstance);
	}

	private static boolean mustBeConfirmed(List<ProxyFrame> frames) {
		return frames.stream()
			.anyMatch(
					(frame) -> frame instanceof ProxyFrame.Request request && !request.request().kind().isRepeatable());
	}

	// The other node is killed when it has the order. It has not run the order, which may
	// go elsewhere.
	@Test
	void anOrderThatWasNotConfirmedIsRefusedAsNotRun() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.close();
			}
		});
		assertThat(this.cluster.ask("one", "/once/x", "a1")).startsWith("HTTP/1.1 503");
		assertThat(wasConfirmed()).isFalse();
	}

	// The other node is paused. When it goes on, it must not run the order that this node
	// has refused.
	@Test
	void anOrderThatAPausedNodeDoesNotAcceptIsRefusedSoonAndNeverConfirmed() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame) && mustBeConfirmed(this.otherNode.received())) {
				sleep(800);
				node.send(new ProxyFrame.Accepted());
			}
		});
		Instant asked = Instant.now();
		assertThat(this.cluster.ask("one", "/once/x", "a1")).startsWith("HTTP/1.1 503");
		assertThat(Duration.between(asked, Instant.now())).isLessThan(Duration.ofMillis(700));
		Thread.sleep(1000);
		assertThat(wasConfirmed()).isFalse();
	}

	// The other node is killed after the confirmation: it may have sent the order on.
	@Test
	void anOrderThatWasConfirmedHasAnUnknownOutcome() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
			}
			else if (frame instanceof ProxyFrame.Confirmed) {
				node.close();
			}
		});
		assertThat(this.cluster.ask("one", "/once/x", "a1")).startsWith("HTTP/1.1 502");
		assertThat(this.otherNode.received().stream().filter(ProxyFrame.Request.class::isInstance)).hasSize(1);
	}

	private static ProxyFrame.Head head(boolean streaming) {
		return head("a1", streaming);
	}

	private static ProxyFrame.Head head(String identifier, boolean streaming) {
		return new ProxyFrame.Head(200, "OK", List.of(new ProxyFrame.Header("Attempt-Id", identifier),
				new ProxyFrame.Header("Server-Signature", "s")), streaming);
	}

	private static ProxyFrame delivered() {
		return new ProxyFrame.End(Optional.of(TargetName.of("p0")), new AttemptEnd.Delivered(200, Duration.ZERO));
	}

	// A part of an answer must not look complete.
	@Test
	void anAnswerThatBreaksOffIsNotDelivered() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
			}
			else if (frame instanceof ProxyFrame.Confirmed) {
				node.send(head(false));
				node.send(new ProxyFrame.Body("hel".getBytes()));
				node.close();
			}
		});
		assertThat(this.cluster.ask("one", "/once/x", "a1")).startsWith("HTTP/1.1 502").doesNotContain("hel\r\n");
	}

	// An answer in several parts, on a connection that serves the next request as well.
	@Test
	void aConnectionServesOneRequestAfterAnother() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
			}
			else if (frame instanceof ProxyFrame.Confirmed) {
				node.send(head(false));
				node.send(new ProxyFrame.Body("hel".getBytes()));
				node.send(new ProxyFrame.Body("lo".getBytes()));
				node.send(delivered());
			}
		});
		for (int request = 0; request < 3; request++) {
			assertThat(this.cluster.ask("one", "/once/x", "a1")).startsWith("HTTP/1.1 200").endsWith("hello");
		}
		assertThat(this.otherNode.received()).doesNotContainNull();
	}

	// Bytes after the end belong to no request: the next one must not get them.
	@Test
	void framesAfterTheEndCloseTheConnection() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
			}
			else if (frame instanceof ProxyFrame.Confirmed) {
				node.send(head(false));
				node.send(new ProxyFrame.Body("hello".getBytes()));
				node.send(delivered());
				node.send(head(false));
			}
		});
		for (int request = 0; request < 3; request++) {
			assertThat(this.cluster.ask("one", "/once/x", "a1")).startsWith("HTTP/1.1 200").endsWith("\r\nhello");
			Thread.sleep(50);
		}
		assertThat(this.otherNode.received()).containsNull();
	}

	// The stream of a node that breaks off can't be resumed without another node; it must
	// not look complete.
	@Test
	void aStreamThatBreaksOffDoesNotLookComplete() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
				node.send(head(true));
				node.send(new ProxyFrame.Event(OptionalLong.of(1), "id: 1\ndata: e1\n\n".getBytes()));
				node.close();
			}
		});
		assertThat(this.cluster.ask("one", "/stream/x", "a1")).contains("data: e1").doesNotEndWith("0\r\n\r\n");
	}

	// The other node ends behind the head of a stream: the node's own answer was written
	// within the stream, and the caller got a closed connection.
	@Test
	void aStreamThatBreaksOffBeforeItsFirstEventIsAnswered() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
				node.send(head("headless", true));
				sleep(100);
				node.close();
			}
		});
		assertThat(this.cluster.ask("one", "/single/x", "headless")).startsWith("HTTP/1.1 50")
			.containsPattern("(?i)content-length: [1-9]");
		assertThat(RecordedLog.lines("ANSWER_CUT", "request=headless ")).isEmpty();
	}

	@Test
	void aStreamWithoutEventsIsWhole() throws Exception {
		start((frame, node) -> {
			if (PlayedNode.endsBody(frame)) {
				node.send(new ProxyFrame.Accepted());
				node.send(head(true));
				node.send(delivered());
			}
		});
		assertThat(this.cluster.ask("one", "/single/x", "a1")).startsWith("HTTP/1.1 200").endsWith("\r\n\r\n0\r\n\r\n");
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
