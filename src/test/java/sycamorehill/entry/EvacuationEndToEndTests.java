package sycamorehill.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.EvacuationChange;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests two nodes over loopback before one target in each of two data centres. Only node
 * "a" sees the evacuations in the store change, and reads for both.
 */
class EvacuationEndToEndTests {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private static final DataCentreName SOUTH = DataCentreName.of("south");

	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(10);

	private static final String ANSWER = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
			+ "Content-Length: 5\r\n\r\nhello";

	private static final int REQUESTS = 30;

	private final ChangingFeed<EvacuationChange> evacuations = ChangingFeed.of(List.of());

	private final List<EntrySettings> settings = List.of(settings("a"), settings("b"));

	private final List<EntryNode> nodes = new ArrayList<>();

	private RawTarget north;

	private RawTarget south;

	@BeforeEach
	void start() throws Exception {
		this.north = RawTarget.start((request) -> ANSWER);
		this.south = RawTarget.start((request) -> ANSWER);
		start(this.settings.get(0), this.evacuations);
		await("node a serves", () -> ask(0).startsWith("HTTP/1.1 200"));
		start(this.settings.get(1), ChangingFeed.of(List.of()));
		await("node b serves", () -> ask(1).startsWith("HTTP/1.1 200"));
	}

	@AfterEach
	void end() throws IOException {
		this.nodes.forEach(EntryNode::stop);
		this.north.close();
		this.south.close();
	}

	private static EntrySettings settings(String name) {
		List<Address> free = FreePorts.find(5);
		EntrySettings sample = ServingSamples.settings(name);
		return new EntrySettings(name, NORTH, List.of(NORTH, SOUTH), 0.75, 4200, free.get(0), free.get(1), free.get(2),
				free.get(4), free.get(3), true, Duration.ofSeconds(1), sample.retryWindow(), sample.retryRatio(),
				sample.retryAllowance(), sample.stallTime(), sample.loadWindow())
			.withEvacuationTime(Duration.ofSeconds(5));
	}

	private void start(EntrySettings node, Feed<EvacuationChange> feed) throws InterruptedException {
		NodeRecord[] records = this.settings.stream().map(EntrySettings::toNodeRecord).toArray(NodeRecord[]::new);
		EntryPorts ports = new EntryPorts(PlatformTestCodec.create(),
				ChangingFeed.of(List.of(new StoredConfiguration(ServingSamples.configuration(1), ""))),
				(text) -> new StoredConfiguration(ServingSamples.configuration(1), text),
				ChangingFeed.of(List.of(target("p1", this.north, NORTH), target("p2", this.south, SOUTH))),
				FakePorts.registry(records), new FakePorts.UnavailableLeaseStore(), new FakePorts.UnreachableEngines(),
				Optional.of(feed));
		this.nodes.add(EntryNode.start(node, (client) -> ports, Clock.systemUTC(), new Random(1)));
	}

	private static TargetChange target(String name, RawTarget target, DataCentreName dataCentre) {
		TargetEntry sample = ServingSamples.plain(name);
		return new TargetChange(sample.name(),
				Optional.of(new TargetEntry(sample.name(), sample.service(), target.address(), dataCentre, 6, false, 1,
						Optional.empty(), sample.staged(), Optional.empty(), Optional.empty())));
	}

	private static void await(String condition, BooleanSupplier fulfilled) throws InterruptedException {
		Instant end = Instant.now().plus(MAXIMUM_WAIT);
		while (!fulfilled.getAsBoolean()) {
			assertThat(Instant.now()).as(condition).isBefore(end);
			Thread.sleep(20);
		}
	}

	private String ask(int node) {
		return call(this.settings.get(node).callerAddress(), "GET /again/x HTTP/1.1\r\nHost: feed.example\r\n"
				+ "Attempt-Id: a1\r\nAuthorization: Token key\r\nConnection: close\r\n\r\n");
	}

	private boolean hasEvacuated(int node, int count) {
		return call(this.settings.get(node).peerAddress(),
				"GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
			.contains("data_centres_evacuated " + count + ".0");
	}

	private static String call(Address address, String request) {
		try (Socket socket = new Socket("127.0.0.1", address.port())) {
			socket.setSoTimeout(3000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return "";
		}
	}

	private List<String> askBoth() {
		return Stream.iterate(0, (number) -> number + 1).limit(REQUESTS).map((number) -> ask(number % 2)).toList();
	}

	private void change(DataCentreName dataCentre, boolean evacuated) {
		this.evacuations.add(List.of(new EvacuationChange(dataCentre, evacuated)));
	}

	// Guards against a feed that isn't followed, isn't sent on, or has no effect.
	@Test
	void bothNodesSendNothingToAnEvacuatedDataCentreUntilItReturns() throws Exception {
		Instant stored = Instant.now();
		change(NORTH, true);
		await("both nodes know it", () -> hasEvacuated(0, 1) && hasEvacuated(1, 1));
		assertThat(Duration.between(stored, Instant.now())).isLessThan(Duration.ofSeconds(5));
		int before = this.north.requests().size();
		assertThat(askBoth()).allMatch((answer) -> answer.startsWith("HTTP/1.1 200"));
		assertThat(this.north.requests()).hasSize(before);
		change(SOUTH, true);
		await("both nodes know the second one", () -> hasEvacuated(0, 2) && hasEvacuated(1, 2));
		assertThat(askBoth()).allMatch((answer) -> answer.startsWith("HTTP/1.1 503"))
			.allMatch((answer) -> answer.contains("all data centres are evacuated"));
		change(NORTH, false);
		await("both nodes know the end", () -> hasEvacuated(0, 1) && hasEvacuated(1, 1));
		assertThat(askBoth()).allMatch((answer) -> answer.startsWith("HTTP/1.1 200"));
		assertThat(this.north.requests()).hasSizeGreaterThan(before);
	}

}
