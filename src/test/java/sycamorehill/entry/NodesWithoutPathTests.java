package sycamorehill.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests two entry nodes over loopback, of which one reaches no target.
 */
class NodesWithoutPathTests {

	private static final String SIGNED_ANSWER = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
			+ "Content-Length: 5\r\n\r\nhello";

	/** Time in which a node must have noticed that it reaches no target. */
	private static final Duration MAXIMUM_DETECTION_TIME = Duration.ofSeconds(3);

	private final List<RawTarget> targets = new ArrayList<>();

	private final List<Address> closedPorts = FreePorts.find(3);

	private final EntrySettings cutOff = settings("one");

	private final EntrySettings connected = settings("two");

	private static EntrySettings settings(String name) {
		List<Address> free = FreePorts.find(5);
		return new EntrySettings(name, DataCentreName.of("north"), List.of(DataCentreName.of("north")), 0.75,
				free.get(0), free.get(1), free.get(2), free.get(4), free.get(3), true, Duration.ofSeconds(8),
				Duration.ofSeconds(10), 0.2, 60, Duration.ofSeconds(5), Duration.ofSeconds(5));
	}

	@BeforeEach
	void start() throws Exception {
		for (int number = 0; number < this.closedPorts.size(); number++) {
			this.targets.add(RawTarget.start((request) -> SIGNED_ANSWER));
		}
		NodeRecord[] nodes = { this.cutOff.toNodeRecord(), this.connected.toNodeRecord() };
		start(this.cutOff, this.closedPorts, nodes);
		start(this.connected, this.targets.stream().map(RawTarget::address).toList(), nodes);
	}

	private static void start(EntrySettings settings, List<Address> addresses, NodeRecord... nodes) throws Exception {
		List<TargetChange> entries = IntStream.range(0, addresses.size())
			.mapToObj((number) -> target("p" + number, addresses.get(number)))
			.map((entry) -> new TargetChange(entry.name(), Optional.of(entry)))
			.toList();
		EntryPorts ports = new EntryPorts(PlatformTestCodec.create(),
				FakePorts.FixedFeed.of(new StoredConfiguration(ServingSamples.configuration(1), "")),
				(text) -> new StoredConfiguration(ServingSamples.configuration(2), text),
				new FakePorts.FixedFeed<>(entries), FakePorts.registry(nodes), new FakePorts.UnavailableLeaseStore(),
				new FakePorts.UnreachableEngines());
		EntryNode.start(settings, (client) -> ports, Clock.systemUTC(), new Random(1));
		awaitRoutes(settings);
	}

	private static TargetEntry target(String name, Address address) {
		TargetEntry plain = ServingSamples.plain(name);
		return new TargetEntry(plain.name(), plain.service(), address, plain.dataCentre(), 6, false, 1,
				Optional.empty(), plain.staged(), Optional.empty(), Optional.empty());
	}

	// Waits until the node has read its configuration and targets; before, it answers
	// 503.
	private static void awaitRoutes(EntrySettings node) throws Exception {
		for (int attempt = 0; attempt < 100; attempt++) {
			if (ask(node, "/nowhere/").startsWith("HTTP/1.1 404")) {
				return;
			}
			Thread.sleep(20);
		}
		throw new AssertionError("the node has not read its configuration");
	}

	@AfterEach
	void end() throws IOException {
		for (RawTarget target : this.targets) {
			target.close();
		}
	}

	private static String ask(EntrySettings node, String path) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", node.callerAddress().port())) {
			socket.setSoTimeout(3000);
			socket.getOutputStream()
				.write(("POST " + path + " HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: a1\r\n"
						+ "Authorization: Token key\r\nDeadline-Ms: 2000\r\nConnection: close\r\n"
						+ "Content-Length: 3\r\n\r\nabc")
					.getBytes(StandardCharsets.ISO_8859_1));
			InputStream in = socket.getInputStream();
			return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	// Callers of a node that reaches no target are refused, though other nodes serve.
	@Test
	void callersOfANodeThatReachesNoTargetAreServed() throws Exception {
		assertThat(ask(this.connected, "/once/x")).startsWith("HTTP/1.1 200");
		for (Instant end = Instant.now().plus(MAXIMUM_DETECTION_TIME); Instant.now().isBefore(end);) {
			ask(this.cutOff, "/again/x");
			Thread.sleep(50);
		}
		for (String path : List.of("/once/x", "/again/x", "/once/y", "/again/y")) {
			assertThat(ask(this.cutOff, path)).as(path).startsWith("HTTP/1.1 200").endsWith("hello");
		}
	}

}
