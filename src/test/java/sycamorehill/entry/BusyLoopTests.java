package sycamorehill.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a complete entry node whose event loop is busy for longer than streams may be
 * silent.
 */
class BusyLoopTests {

	private static final Duration BUSY_TIME = Duration.ofMillis(1200);

	private static final int EVENTS = 60;

	private static final long EVENT_INTERVAL_MILLIS = 50;

	private final List<PacedTarget> engines = new ArrayList<>();

	private EntrySettings settings;

	@BeforeEach
	void begin() throws Exception {
		List<TargetChange> entries = new ArrayList<>();
		for (int number = 0; number < 2; number++) {
			PacedTarget engine = PacedTarget.start(EVENTS, EVENT_INTERVAL_MILLIS);
			this.engines.add(engine);
			String group = "small." + number;
			entries.add(entry(ServingSamples.member("h" + number, group, 1, 0, MemberState.OPEN), engine.address()));
			entries.add(entry(ServingSamples.member("m" + number, group, 1, 1, MemberState.READY), engine.address()));
		}
		List<Address> free = FreePorts.find(5);
		this.settings = new EntrySettings("one", DataCentreName.of("north"), List.of(DataCentreName.of("north")), 0.75,
				4200, free.get(0), free.get(1), free.get(2), free.get(4), free.get(3), true, Duration.ofSeconds(8),
				Duration.ofMillis(100), 0.2, 60, Duration.ofSeconds(5), Duration.ofSeconds(5));
		EntryPorts ports = new EntryPorts(new SlowCodec(PlatformTestCodec.create()),
				FakePorts.FixedFeed.of(new StoredConfiguration(ServingSamples.configuration(1), "")),
				(text) -> new StoredConfiguration(ServingSamples.configuration(2), text),
				new FakePorts.FixedFeed<>(entries), FakePorts.registry(), new FakePorts.UnavailableLeaseStore(),
				new FakePorts.UnreachableEngines());
		EntryNode.start(this.settings, (client) -> ports, Clock.systemUTC(), new Random(1));
		for (int attempt = 0; attempt < 100 && !ask("/nowhere/", "a0").startsWith("HTTP/1.1 404"); attempt++) {
			Thread.sleep(20);
		}
	}

	private static TargetChange entry(TargetEntry sample, Address address) {
		return new TargetChange(sample.name(),
				Optional
					.of(new TargetEntry(sample.name(), sample.service(), address, sample.dataCentre(), sample.slots(),
							false, 1, sample.domain(), sample.staged(), sample.loaded(), sample.membership())));
	}

	@AfterEach
	void end() throws IOException {
		for (PacedTarget engine : this.engines) {
			engine.close();
		}
	}

	private String ask(String path, String identifier) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.settings.callerAddress().port())) {
			socket.setSoTimeout(10_000);
			socket.getOutputStream()
				.write(("POST " + path + " HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: " + identifier
						+ "\r\nAuthorization: Token key\r\nDeadline-Ms: 6000\r\nConnection: close\r\nModel: small\r\n"
						+ "Content-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	private CompletableFuture<String> stream(String identifier) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return ask("/stream/x", identifier);
			}
			catch (IOException ex) {
				return ex.toString();
			}
		});
	}

	private int connections() {
		return this.engines.stream().mapToInt(PacedTarget::connections).sum();
	}

	// A large configuration holds up the loop, and the events of all streams wait in the
	// sockets: their targets must not count as silent, nor the path as broken.
	@Test
	void bytesThatArriveWhileTheLoopIsBusyAreNoSilenceOfTheirSenders() throws Exception {
		List<CompletableFuture<String>> streams = List.of(stream("s1"), stream("s2"), stream("s3"), stream("s4"));
		Thread.sleep(900);
		int before = connections();
		assertThat(this.engines).allMatch((engine) -> engine.connections() > 0);
		assertThat(ask("/nowhere/", SlowCodec.SLOW_REQUEST)).startsWith("HTTP/1.1 404");
		for (CompletableFuture<String> stream : streams) {
			assertThat(stream.get()).startsWith("HTTP/1.1 200").contains("data: e" + EVENTS).endsWith("0\r\n\r\n");
		}
		assertThat(connections()).as("connections to the engines").isEqualTo(before);
	}

	/**
	 * Codec that keeps the event loop busy while it reads one request.
	 *
	 * @param codec reads and writes all heads
	 */
	private record SlowCodec(ExchangeCodec codec) implements ExchangeCodec {

		private static final String SLOW_REQUEST = "slow";

		@Override
		public IncarnationCodec incarnations() {
			return this.codec.incarnations();
		}

		@Override
		public CallerRequestHead readCallerRequest(HttpRequest request) {
			if (SLOW_REQUEST.equals(request.headers().get("Attempt-Id"))) {
				try {
					Thread.sleep(BUSY_TIME.toMillis());
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
			return this.codec.readCallerRequest(request);
		}

		@Override
		public HttpHeaders forwardableHeaders(HttpRequest request) {
			return this.codec.forwardableHeaders(request);
		}

		@Override
		public HttpHeaders targetHeaders(HttpRequest request, ForwardingMetadata forwarding) {
			return this.codec.targetHeaders(request, forwarding);
		}

		@Override
		public TargetResponseHead readTargetResponse(HttpResponse response) {
			return this.codec.readTargetResponse(response);
		}

		@Override
		public Optional<String> readAnswerIdentifier(HttpResponse response) {
			return this.codec.readAnswerIdentifier(response);
		}

		@Override
		public HttpHeaders callerHeaders(HttpResponse response) {
			return this.codec.callerHeaders(response);
		}

		@Override
		public HttpHeaders localAnswerHeaders(String identifier, Optional<Duration> retryAfter) {
			return this.codec.localAnswerHeaders(identifier, retryAfter);
		}

		@Override
		public String readinessPath() {
			return this.codec.readinessPath();
		}

	}

}
