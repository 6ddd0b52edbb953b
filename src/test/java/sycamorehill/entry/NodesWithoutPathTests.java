package sycamorehill.entry;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests entry nodes over loopback of which the node "one" loses its path to all targets.
 */
class NodesWithoutPathTests {

	/** Time in which a node must have noticed that it reaches no target. */
	private static final Duration MAXIMUM_DETECTION_TIME = Duration.ofSeconds(3);

	private static final Duration REQUEST_INTERVAL = Duration.ofMillis(50);

	/** Time in which a target must notice that its caller has left. */
	private static final Duration MAXIMUM_CANCELLATION_TIME = Duration.ofMillis(500);

	private LoopbackCluster cluster;

	private int lastIdentifier;

	private void start(UnaryOperator<String> plainAnswers, String... names) throws Exception {
		start(plainAnswers, (request) -> LoopbackCluster.events(request, 1, 4, true), names);
	}

	private void start(UnaryOperator<String> plainAnswers, UnaryOperator<String> streams, String... names)
			throws Exception {
		this.cluster = LoopbackCluster.start(plainAnswers, streams, List.of(), names);
		Thread.sleep(300);
	}

	@AfterEach
	void end() throws Exception {
		this.cluster.close();
	}

	private String nextIdentifier() {
		this.lastIdentifier++;
		return "a" + this.lastIdentifier;
	}

	private String ask(String node, String path) throws Exception {
		return this.cluster.ask(node, path, nextIdentifier());
	}

	private void send(String node, String path, Duration time) throws Exception {
		for (Instant end = Instant.now().plus(time); Instant.now().isBefore(end);) {
			ask(node, path);
			Thread.sleep(REQUEST_INTERVAL.toMillis());
		}
	}

	private void cutOff(String node) throws Exception {
		this.cluster.cut(node, TargetLink.Way.RESET);
		send(node, "/again/x", Duration.ofMillis(300));
		send(node, "/stream/x", Duration.ofMillis(300));
	}

	// Callers of a node that reaches no target are refused, though other nodes serve.
	@ParameterizedTest
	@EnumSource(TargetLink.Way.class)
	void callersOfANodeThatReachesNoTargetAreServed(TargetLink.Way way) throws Exception {
		start(LoopbackCluster::hello, "one", "two");
		send("one", "/again/x", Duration.ofMillis(300));
		this.cluster.cut("one", way);
		send("one", "/again/x", MAXIMUM_DETECTION_TIME);
		for (String path : List.of("/once/x", "/again/x", "/once/y", "/again/y")) {
			assertThat(ask("one", path)).as(path).startsWith("HTTP/1.1 200").endsWith("hello");
		}
		assertThat(ask("one", "/stream/x")).startsWith("HTTP/1.1 200").contains("data: e1", "data: e4");
	}

	// Requests go through the other node for longer than needed.
	@ParameterizedTest
	@EnumSource(TargetLink.Way.class)
	void requestsGoToTheTargetsDirectlyOnceThePathIsBack(TargetLink.Way way) throws Exception {
		start(LoopbackCluster::hello, "one", "two");
		this.cluster.cut("one", way);
		send("one", "/again/x", Duration.ofSeconds(1));
		this.cluster.mend("one");
		Thread.sleep(1000);
		this.cluster.cut("two", TargetLink.Way.RESET);
		for (int asked = 0; asked < 5; asked++) {
			assertThat(ask("one", "/once/x")).startsWith("HTTP/1.1 200");
		}
	}

	// The other node must not see the caller's key, and must set what targets rely on.
	@Test
	void targetReceivesTheRequestAsIfItsOwnNodeHadSentIt() throws Exception {
		start(LoopbackCluster::hello, "one", "two");
		cutOff("one");
		String body = "x".repeat(300_000);
		try (Socket socket = this.cluster.open("one", "/once/x?y=1", "whole", body)) {
			assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
				.startsWith("HTTP/1.1 200")
				.contains("Server-Signature: s", "Attempt-Id: whole");
		}
		String seen = this.cluster.plainRequests()
			.stream()
			.filter((request) -> request.contains("Attempt-Id: whole"))
			.findFirst()
			.orElseThrow();
		assertThat(seen).startsWith("POST /once/x?y=1 HTTP/1.1\r\n")
			.contains("Tenant: yard", "Expect-Instance: p")
			.containsPattern("(?i)content-length: 300000")
			.containsPattern("Deadline-Ms: 2[0-9]{3}\r\n")
			.doesNotContain("Authorization", "forged", "Connection: close")
			.endsWith("\r\n\r\n" + body);
	}

	// An order runs twice, or is refused as not run although it has, because its way
	// breaks while it is sent.
	@ParameterizedTest
	@EnumSource(TargetLink.Way.class)
	void ordersRunAtMostOnceWhileThePathIsLostAndRestored(TargetLink.Way way) throws Exception {
		start(LoopbackCluster::hello, "one", "two");
		Map<String, String> answers = new HashMap<>();
		for (int number = 0; number < 60; number++) {
			if (number == 20) {
				this.cluster.cut("one", way);
			}
			if (number == 40) {
				this.cluster.mend("one");
			}
			String identifier = nextIdentifier();
			answers.put(identifier, this.cluster.ask("one", "/once/x", identifier));
			Thread.sleep(10);
		}
		Map<String, Long> runs = this.cluster.plainRequests()
			.stream()
			.collect(Collectors.groupingBy(LoopbackCluster::identifier, Collectors.counting()));
		answers.forEach((identifier, answer) -> {
			assertThat(runs.getOrDefault(identifier, 0L)).as(identifier).isLessThanOrEqualTo(1);
			if (answer.startsWith("HTTP/1.1 503")) {
				assertThat(runs).doesNotContainKey(identifier);
			}
		});
		assertThat(answers.values()).filteredOn((answer) -> answer.startsWith("HTTP/1.1 200")).hasSizeGreaterThan(50);
	}

	// The target goes on working for a caller that has left.
	@Test
	void targetStopsWhenTheCallerOfAProxiedRequestLeaves() throws Exception {
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch answered = new CountDownLatch(1);
		start((request) -> {
			if (!request.contains("Attempt-Id: leaving")) {
				return LoopbackCluster.hello(request);
			}
			arrived.countDown();
			awaitQuietly(answered);
			return LoopbackCluster.hello(request) + "x".repeat(2_000_000);
		}, "one", "two");
		cutOff("one");
		Socket caller = this.cluster.open("one", "/again/x", "leaving", "abc");
		assertThat(arrived.await(2, TimeUnit.SECONDS)).isTrue();
		caller.close();
		Thread.sleep(MAXIMUM_CANCELLATION_TIME.toMillis());
		answered.countDown();
		Thread.sleep(200);
		assertThat(this.cluster.plainRequests()).contains("closed");
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// A stream breaks at its target behind the other node. Its caller must get every
	// event once, within one answer.
	@Test
	void aBrokenStreamGoesOnThroughTheOtherNode() throws Exception {
		start(LoopbackCluster::hello, (request) -> {
			boolean resumed = request.contains("Last-Event-Id: 2");
			boolean breaks = request.contains("Attempt-Id: broken") && !resumed;
			return LoopbackCluster.events(request, resumed ? 3 : 1, breaks ? 2 : 4, !breaks);
		}, "one", "two");
		this.cluster.awaitRetryShare("one");
		cutOff("one");
		String answer = this.cluster.ask("one", "/stream/x", "broken");
		assertThat(answer).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n");
		for (int number = 1; number <= 4; number++) {
			assertThat(answer.split("data: e" + number + "\n", -1)).hasSize(2);
		}
	}

	// No node has a path: the caller must not wait, and must not come back at once.
	@Test
	void callersAreRefusedAtOnceWhenNoNodeHasAPath() throws Exception {
		start(LoopbackCluster::hello, "one", "two");
		cutOff("one");
		cutOff("two");
		cutOff("one");
		int before = this.cluster.plainRequests().size();
		Instant asked = Instant.now();
		String answer = ask("one", "/once/x");
		assertThat(Duration.between(asked, Instant.now())).isLessThan(Duration.ofMillis(100));
		assertThat(answer).startsWith("HTTP/1.1 503").containsPattern("(?i)retry-after: 1\\.\\d+");
		assertThat(this.cluster.plainRequests()).hasSize(before);
	}

	// A planned stop of the other node must not cut off what it does for this one.
	@Test
	void aStoppingNodeFinishesProxiedRequestsAndTakesNoNewOnes() throws Exception {
		AtomicInteger slow = new AtomicInteger();
		start((request) -> {
			if (request.contains("Attempt-Id: slow")) {
				slow.incrementAndGet();
				sleepQuietly(Duration.ofMillis(1500));
			}
			return LoopbackCluster.hello(request);
		}, "one", "two", "three");
		cutOff("one");
		List<Socket> callers = new ArrayList<>();
		for (int number = 0; number < 6; number++) {
			callers.add(this.cluster.open("one", "/once/x", "slow" + number, "abc"));
		}
		Thread.sleep(300);
		this.cluster.node("two").stop();
		Thread.sleep(100);
		this.cluster.cut("three", TargetLink.Way.RESET);
		for (Socket caller : callers) {
			assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)).satisfiesAnyOf(
					(answer) -> assertThat(answer).startsWith("HTTP/1.1 200"),
					(answer) -> assertThat(answer).startsWith("HTTP/1.1 502"));
			caller.close();
		}
		assertThat(slow).hasValue(6);
		cutOff("three");
		assertThat(ask("one", "/once/x")).startsWith("HTTP/1.1 503");
		assertThat(this.cluster.node("two").whenStopped()).succeedsWithin(Duration.ofSeconds(6));
	}

	private static void sleepQuietly(Duration time) {
		try {
			Thread.sleep(time.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Only nodes that the store lists may have requests sent.
	@Test
	void connectionsFromOtherHostsAreClosed() throws Exception {
		start(LoopbackCluster::hello, "one", "two");
		try (Socket socket = new Socket()) {
			socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.2"), 0));
			socket.connect(new InetSocketAddress("127.0.0.1", this.cluster.settingsOf("two").proxyAddress().port()));
			socket.setSoTimeout(1000);
			InputStream in = socket.getInputStream();
			assertThat(in.read()).isEqualTo(-1);
		}
	}

	// A path that comes and goes several times a second: callers must still be served.
	@Test
	void callersAreServedWhileThePathFlaps() throws Exception {
		start(LoopbackCluster::hello, "one", "two");
		List<String> answers = new ArrayList<>();
		for (int round = 0; round < 8; round++) {
			this.cluster.cut("one", TargetLink.Way.RESET);
			IntStream.range(0, 10).forEach((asked) -> answers.add(askQuietly()));
			this.cluster.mend("one");
			IntStream.range(0, 10).forEach((asked) -> answers.add(askQuietly()));
		}
		assertThat(answers).filteredOn((answer) -> answer.startsWith("HTTP/1.1 200"))
			.hasSizeGreaterThan(answers.size() * 9 / 10);
	}

	private String askQuietly() {
		try {
			Thread.sleep(20);
			return ask("one", "/again/x");
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

}
