package sycamorehill.entry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.Address;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.support.RecordedLog;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the connection over which another node, played by the test, sends requests
 * through a node.
 */
class ProxyServerConnectionTests {

	/** Time for which a stopping node takes requests, at most. */
	private static final Duration ACCEPTANCE_TIME = Duration.ofMillis(3000);

	/** More than the buffers of both sockets hold. */
	private static final int LARGE_ANSWER_BYTES = 12 * 1024 * 1024;

	private static final int SMALL_BUFFER_BYTES = 4096;

	/** Longer than a connection may be idle. */
	private static final Duration LONG_ANSWER_TIME = Duration.ofMillis(6500);

	/** Time for which an idle connection is used again by the other node. */
	private static final Duration REUSE_TIME = Duration.ofSeconds(2);

	private CallerNode node;

	@AfterEach
	void end() throws IOException {
		this.node.close();
	}

	private Socket connect() throws IOException {
		Address address = this.node.proxyAddress();
		Socket socket = new Socket();
		socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
		socket.setSoTimeout(10_000);
		socket.connect(new InetSocketAddress(address.host(), address.port()));
		return socket;
	}

	private static void send(Socket socket, String identifier) throws IOException {
		ProxiedRequest request = new ProxiedRequest("two", identifier, "/again/", RequestKind.IDEMPOTENT,
				ServingSamples.DESK, Optional.empty(), 1, Duration.ofMillis(300), Duration.ofSeconds(20),
				Duration.ofSeconds(20), Duration.ZERO, Optional.empty(), Optional.empty(), List.of(), 1, Set.of(),
				false, false, Set.of());
		byte[] bytes = ProxyFrameCodec.create()
			.write(new ProxyFrame.Request(request, "GET", "/again/x", List
				.of(new ProxyFrame.Header("Host", "feed.example"), new ProxyFrame.Header("Attempt-Id", identifier)),
					Optional.empty(), Optional.empty(), 0));
		DataOutputStream out = new DataOutputStream(socket.getOutputStream());
		out.writeInt(bytes.length);
		out.write(bytes);
		out.flush();
	}

	private static ProxyFrame.End readToEnd(Socket socket) throws IOException {
		return readToEnd(new DataInputStream(socket.getInputStream()));
	}

	private static ProxyFrame.End readToEnd(DataInputStream in) throws IOException {
		while (true) {
			byte[] bytes = new byte[in.readInt()];
			in.readFully(bytes);
			if (ProxyFrameCodec.read(bytes) instanceof ProxyFrame.End end) {
				return end;
			}
		}
	}

	// A node that stops exits while the other node has not received the whole answer.
	@Test
	void aStoppingNodeWaitsUntilTheOtherNodeHasTheWholeAnswer() throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL, ProxyServerConnectionTests::largeAnswer);
		try (Socket socket = connect()) {
			send(socket, "slow");
			Thread.sleep(300);
			this.node.node().stop();
			Thread.sleep(ACCEPTANCE_TIME.plusMillis(300).toMillis());
			assertThat(this.node.node().whenStopped()).isNotDone();
			assertThat(readToEnd(socket).end()).isInstanceOf(AttemptEnd.Delivered.class);
			this.node.node().whenStopped().get(1, TimeUnit.SECONDS);
		}
	}

	// The time of the answer counted as idle: the connection was closed as soon as a long
	// answer had ended, with its last frames unsent or the next request on its way.
	@Test
	void aConnectionIsKeptBehindAnAnswerThatTookLongerThanItMayBeIdle() throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL, (request) -> {
			if (LoopbackCluster.identifier(request).equals("long")) {
				sleep(LONG_ANSWER_TIME);
			}
			return LoopbackCluster.hello(request);
		});
		try (Socket socket = connect()) {
			send(socket, "long");
			assertThat(readToEnd(socket).end()).isInstanceOf(AttemptEnd.Delivered.class);
			Thread.sleep(REUSE_TIME.toMillis());
			send(socket, "next");
			assertThat(readToEnd(socket).end()).isInstanceOf(AttemptEnd.Delivered.class);
		}
	}

	private static String largeAnswer(String request) {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
				+ "\r\nServer-Signature: s\r\nContent-Length: " + LARGE_ANSWER_BYTES + "\r\n\r\n"
				+ "x".repeat(LARGE_ANSWER_BYTES);
	}

	private void assertCut(String identifier, CutCause cause) throws Exception {
		assertThat(RecordedLog.await("SYC-1914 ANSWER_CUT", "request=" + identifier + ' ')).singleElement()
			.asString()
			.contains("cause=" + cause + ' ', "to=two");
		assertThat(this.node.metrics()).contains("proxied_answers_cut_" + cause + " 1.0");
	}

	// A connection that is closed for a faulty frame takes a running request with it.
	@Test
	void anAnswerWhoseConnectionIsClosedForAFaultyFrameIsReported() throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL, (request) -> "HTTP/1.1 200 OK\r\n");
		try (Socket socket = connect()) {
			send(socket, "node-faulty");
			Thread.sleep(300);
			socket.getOutputStream().write(new byte[] { 0, 0, 0, 1, 0 });
			assertCut("node-faulty", CutCause.CONNECTION_FAILED);
		}
	}

	// A node that takes nothing of an answer loses it without a line.
	@Test
	void anAnswerThatTheOtherNodeDoesNotTakeIsReportedAtTheIdleTimeout() throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL, ProxyServerConnectionTests::largeAnswer);
		try (Socket socket = connect()) {
			send(socket, "node-untaken");
			Thread.sleep(LONG_ANSWER_TIME.toMillis());
			assertCut("node-untaken", CutCause.IDLE_TIMER);
		}
	}

	// A node that takes an answer slowly, over a link that loses packets, loses the rest.
	@Test
	void anAnswerThatTheOtherNodeTakesSlowlyIsWholeBeyondTheIdleTimeout() throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL, ProxyServerConnectionTests::largeAnswer);
		try (Socket socket = connect()) {
			send(socket, "node-slow");
			DataInputStream in = new DataInputStream(socket.getInputStream());
			ByteArrayOutputStream received = new ByteArrayOutputStream();
			for (Instant end = Instant.now().plus(LONG_ANSWER_TIME); Instant.now().isBefore(end);) {
				received.write(in.readNBytes(60_000));
				Thread.sleep(100);
			}
			InputStream whole = new SequenceInputStream(new ByteArrayInputStream(received.toByteArray()), in);
			assertThat(readToEnd(new DataInputStream(whole)).end()).isInstanceOf(AttemptEnd.Delivered.class);
		}
		assertThat(RecordedLog.lines("ANSWER_CUT", "request=node-slow ")).isEmpty();
	}

	// A stopping node exits with requests of other nodes in flight, and names none.
	@Test
	void anAnswerInFlightAtTheBoundOfAStopIsReported() throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL, (request) -> "HTTP/1.1 200 OK\r\n");
		try (Socket socket = connect()) {
			send(socket, "node-bound");
			Thread.sleep(300);
			this.node.node().stop();
			this.node.node().whenStopped().get(10, TimeUnit.SECONDS);
			assertCut("node-bound", CutCause.DRAIN_BOUND);
		}
	}

	// A node that leaves must not look like one that was cut off.
	@Test
	void aNodeThatLeavesOrHasItsAnswerIsNotReported() throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL,
				(request) -> LoopbackCluster.identifier(request).equals("node-left") ? "HTTP/1.1 200 OK\r\n"
						: LoopbackCluster.hello(request));
		try (Socket socket = connect()) {
			send(socket, "node-whole");
			readToEnd(socket);
			send(socket, "node-left");
			Thread.sleep(300);
		}
		Thread.sleep(300);
		assertThat(this.node.metrics()).doesNotContain("answers_cut");
	}

	private static void sleep(Duration time) {
		try {
			Thread.sleep(time.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
