package sycamorehill.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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
 * Tests how a complete entry node over loopback stops with a request in flight whose
 * answer comes late.
 */
class PlannedStopTests {

	/** A node with this time until it is killed stops while the answer is not there. */
	private static final Duration SHORT = Duration.ofMillis(3500);

	private static final Duration ANSWER_AFTER = Duration.ofMillis(4500);

	private static final Duration LONG = Duration.ofSeconds(12);

	/** Time that the caller of an order gives it. */
	private static final Duration ORDER_TIMEOUT = Duration.ofMillis(1500);

	private final ExecutorService callers = Executors.newCachedThreadPool();

	private Duration answerAfter = ANSWER_AFTER;

	private final AtomicInteger deregistrations = new AtomicInteger();

	private final AtomicReference<Duration> wallClockJump = new AtomicReference<>(Duration.ZERO);

	private RawTarget target;

	private EntrySettings settings;

	private EntryNode node;

	@AfterEach
	void end() throws IOException {
		this.target.close();
		this.callers.shutdownNow();
	}

	// The platform allows a longer grace by changed settings, and the node still ends by
	// the one that it started with.
	@Test
	void boundFollowsSettingsReadBeforeTheStop() throws Exception {
		start(SHORT);
		CompletableFuture<String> answer = ask();
		this.node.reload(withStopTime(LONG));
		this.node.stop();
		assertAnsweredBeforeTheEnd(answer);
	}

	// The settings are read again while the node stops.
	@Test
	void boundFollowsSettingsReadWithinTheStop() throws Exception {
		start(SHORT);
		CompletableFuture<String> answer = ask();
		this.node.stop();
		TimeUnit.SECONDS.sleep(1);
		this.node.reload(withStopTime(LONG));
		assertAnsweredBeforeTheEnd(answer);
	}

	// A wall clock that jumps ahead must not use up the grace.
	@Test
	void jumpOfTheWallClockEndsNoStop() throws Exception {
		start(LONG);
		CompletableFuture<String> answer = ask();
		this.node.stop();
		TimeUnit.MILLISECONDS.sleep(3200);
		this.wallClockJump.set(Duration.ofMinutes(40));
		assertAnsweredBeforeTheEnd(answer);
	}

	// A second stop would begin the grace anew and take the node out of the store twice.
	@Test
	void secondStopChangesNothing() throws Exception {
		start(LONG);
		this.node.stop();
		TimeUnit.MILLISECONDS.sleep(1500);
		this.node.stop();
		TimeUnit.MILLISECONDS.sleep(100);
		assertThat(this.deregistrations.get()).isEqualTo(1);
	}

	// Checks that go on after the end fill the log with a line every 100 ms.
	@Test
	void endIsReachedOnce() throws Exception {
		start(LONG);
		this.node.stop();
		this.node.whenStopped().get(10, TimeUnit.SECONDS);
		TimeUnit.MILLISECONDS.sleep(500);
		assertThat(metrics()).contains("events_REQUESTS_DRAINED 1.0").doesNotContain("events_REQUEST_CUT");
	}

	// An answer is cut at the bound, and no line names the request.
	@Test
	void eachRequestThatIsCutAtTheBoundIsCounted() throws Exception {
		start(SHORT);
		ask();
		ask();
		this.node.stop();
		this.node.whenStopped().get(10, TimeUnit.SECONDS);
		assertThat(metrics()).contains("answers_cut_DRAIN_BOUND 2.0");
	}

	// Guards against orders that are taken late in the grace and cut at its end with no
	// answer, whatever the grace is.
	@ParameterizedTest
	@ValueSource(longs = { 1500, 2000, 3000, 4000, 6000, 8000 })
	void ordersThatComeWithinTheStopAreAnsweredOrNotRun(long graceMillis) throws Exception {
		this.answerAfter = Duration.ofSeconds(1);
		start(Duration.ofMillis(graceMillis));
		this.node.stop();
		List<CompletableFuture<String>> answers = new ArrayList<>();
		while (!this.node.whenStopped().isDone()) {
			answers.add(CompletableFuture.supplyAsync(() -> send("/once/x", ORDER_TIMEOUT), this.callers));
			TimeUnit.MILLISECONDS.sleep(50);
		}
		assertThat(this.node.whenStopped().get(1, TimeUnit.SECONDS)).as("cut").isZero();
		List<String> texts = answers.stream().map(CompletableFuture::join).toList();
		// A connection that is closed before its request is read brings nothing.
		assertThat(texts).filteredOn((text) -> text.startsWith("HTTP"))
			.isNotEmpty()
			.filteredOn((text) -> !(text.startsWith("HTTP/1.1 200") && text.endsWith("hello"))
					&& !(text.startsWith("HTTP/1.1 503") && text.contains("not run")))
			.isEmpty();
		assertThat(this.target.requests())
			.hasSize((int) texts.stream().filter((text) -> text.startsWith("HTTP/1.1 200")).count());
	}

	// Guards against an order that is taken by a grace which changed settings have made
	// shorter within the stop.
	@Test
	void ordersFitIntoTheGraceOfTheLastSettings() throws Exception {
		this.answerAfter = Duration.ofSeconds(1);
		start(LONG);
		this.node.stop();
		this.node.reload(withStopTime(Duration.ofMillis(1500)));
		TimeUnit.MILLISECONDS.sleep(100);
		assertThat(send("/once/x", ORDER_TIMEOUT)).startsWith("HTTP/1.1 503").contains("not run");
		assertThat(this.target.requests()).isEmpty();
	}

	private void assertAnsweredBeforeTheEnd(CompletableFuture<String> answer) throws Exception {
		CompletableFuture<Boolean> answeredAtTheEnd = this.node.whenStopped().thenApply((ended) -> answer.isDone());
		assertThat(answeredAtTheEnd.get(20, TimeUnit.SECONDS)).isTrue();
		assertThat(answer.get(20, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200").endsWith("hello");
	}

	private void start(Duration stopTime) throws Exception {
		this.target = RawTarget.start((request) -> {
			sleep(this.answerAfter);
			return LoopbackCluster.hello(request);
		});
		List<Address> free = FreePorts.find(5);
		this.settings = new EntrySettings("one", DataCentreName.of("north"), List.of(DataCentreName.of("north")), 0.75,
				4200, free.get(0), free.get(1), free.get(2), free.get(4), free.get(3), true, stopTime,
				Duration.ofMillis(100), 0.2, 60, Duration.ofSeconds(5), Duration.ofSeconds(5));
		InstantSource wallClock = () -> Clock.systemUTC().instant().plus(this.wallClockJump.get());
		this.node = EntryNode.start(this.settings, (client) -> ports(), wallClock, new Random(1));
		for (int attempt = 0; attempt < 100 && !send("/nowhere/").startsWith("HTTP/1.1 404"); attempt++) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private EntrySettings withStopTime(Duration stopTime) {
		EntrySettings now = this.settings;
		return new EntrySettings(now.nodeName(), now.dataCentre(), now.dataCentres(), now.processorCores(),
				now.maximumDescriptors(), now.callerAddress(), now.readinessAddress(), now.peerAddress(),
				now.proxyAddress(), now.storeAddress(), now.firstStart(), stopTime, now.retryWindow(), now.retryRatio(),
				now.retryAllowance(), now.stallTime(), now.loadWindow());
	}

	private EntryPorts ports() {
		TargetEntry plain = ServingSamples.plain("p1");
		TargetEntry entry = new TargetEntry(plain.name(), plain.service(), this.target.address(), plain.dataCentre(), 6,
				false, 1, Optional.empty(), plain.staged(), Optional.empty(), Optional.empty());
		return new EntryPorts(PlatformTestCodec.create(),
				FakePorts.FixedFeed.of(new StoredConfiguration(ServingSamples.configuration(1), "")),
				(text) -> new StoredConfiguration(ServingSamples.configuration(2), text),
				FakePorts.FixedFeed.of(new TargetChange(entry.name(), Optional.of(entry))), new CountingRegistry(),
				new FakePorts.UnavailableLeaseStore(), new FakePorts.UnreachableEngines());
	}

	// Returns once the target has the request.
	private CompletableFuture<String> ask() throws Exception {
		int before = this.target.requests().size();
		CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> send("/once/x"));
		Instant limit = Instant.now().plusSeconds(5);
		while (this.target.requests().size() == before && Instant.now().isBefore(limit)) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		return answer;
	}

	private String send(String path) {
		return send(path, Duration.ofSeconds(6));
	}

	private String send(String path, Duration timeout) {
		return exchange(this.settings.callerAddress(), request(path, timeout));
	}

	private static String request(String path, Duration timeout) {
		return "POST " + path + " HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: a1\r\nAuthorization: Token key\r\n"
				+ "Deadline-Ms: " + timeout.toMillis() + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
	}

	private String metrics() {
		return exchange(this.settings.peerAddress(),
				"GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
	}

	private static String exchange(Address address, String request) {
		try (Socket socket = new Socket(address.host(), address.port())) {
			socket.setSoTimeout(10_000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return "broke off: " + ex;
		}
	}

	private static void sleep(Duration time) {
		try {
			TimeUnit.MILLISECONDS.sleep(time.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Registry that counts how often the node takes itself out.
	 */
	private final class CountingRegistry implements NodeRegistry {

		@Override
		public CompletableFuture<Optional<EarlierEntry>> register(NodeRecord record, String incarnation) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

		@Override
		public CompletableFuture<List<NodeRecord>> list(boolean consistent) {
			return CompletableFuture.completedFuture(List.of());
		}

		@Override
		public CompletableFuture<Void> deregister(String name) {
			PlannedStopTests.this.deregistrations.incrementAndGet();
			return CompletableFuture.completedFuture(null);
		}

	}

}
