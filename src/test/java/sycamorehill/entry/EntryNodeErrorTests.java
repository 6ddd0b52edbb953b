package sycamorehill.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a complete entry node whose event loop meets errors of the virtual machine.
 */
class EntryNodeErrorTests {

	private static final String REQUEST = "POST /once/x HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: a1\r\n"
			+ "Authorization: Token key\r\nDeadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

	private final FailingRandom random = new FailingRandom();

	private final FailingLeaseStore leases = new FailingLeaseStore();

	private RawTarget target;

	private EntrySettings settings;

	@AfterEach
	void end() throws IOException {
		this.target.close();
	}

	private void start() throws Exception {
		this.target = RawTarget.start(LoopbackCluster::hello);
		List<Address> free = FreePorts.find(5);
		this.settings = new EntrySettings("one", DataCentreName.of("north"), List.of(DataCentreName.of("north")), 0.75,
				4200, free.get(0), free.get(1), free.get(2), free.get(4), free.get(3), true, Duration.ofSeconds(8),
				Duration.ofMillis(100), 0.2, 60, Duration.ofSeconds(5), Duration.ofSeconds(5));
		EntryNode.start(this.settings, (client) -> ports(), Clock.systemUTC(), this.random);
		for (int attempt = 0; attempt < 100 && !ask(REQUEST).startsWith("HTTP/1.1 200"); attempt++) {
			Thread.sleep(20);
		}
	}

	private EntryPorts ports() {
		TargetEntry plain = ServingSamples.plain("p1");
		TargetEntry entry = new TargetEntry(plain.name(), plain.service(), this.target.address(), plain.dataCentre(), 6,
				false, 1, Optional.empty(), plain.staged(), Optional.empty(), Optional.empty());
		return new EntryPorts(PlatformTestCodec.create(),
				FakePorts.FixedFeed.of(new StoredConfiguration(ServingSamples.configuration(1), "")),
				(text) -> new StoredConfiguration(ServingSamples.configuration(2), text),
				FakePorts.FixedFeed.of(new TargetChange(entry.name(), Optional.of(entry))), FakePorts.registry(),
				this.leases, new FakePorts.UnreachableEngines());
	}

	private String ask(String request) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.settings.callerAddress().port())) {
			socket.setSoTimeout(1000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (SocketTimeoutException ex) {
			return "no answer in time";
		}
	}

	private String metrics() throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.settings.peerAddress().port())) {
			socket.setSoTimeout(3000);
			socket.getOutputStream()
				.write("GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	// A request whose step fails has no time limit yet: it would wait until its caller
	// gives up.
	@Test
	void aRequestWhoseStepThrowsAnErrorIsRefusedAtOnceAndTheNextIsServed() throws Exception {
		start();
		this.random.failOnce = true;
		assertThat(ask(REQUEST)).startsWith("HTTP/1.1 503");
		assertThat(ask(REQUEST)).startsWith("HTTP/1.1 200");
		assertThat(metrics()).contains("loop_failures 1.0", "loop_unlogged_failures 0.0");
	}

	// An error that leaves the periodic checks cancels their timer without a line: time
	// limits, the store and silent streams would not be looked at any more.
	@Test
	void periodicChecksGoOnAfterAnError() throws Exception {
		this.leases.failOnce = true;
		start();
		for (int attempt = 0; attempt < 250 && this.leases.reads.get() < 3; attempt++) {
			Thread.sleep(20);
		}
		assertThat(this.leases.reads.get()).isGreaterThanOrEqualTo(3);
	}

	/**
	 * Random numbers of which one can be replaced by an error.
	 */
	private static final class FailingRandom implements RandomGenerator {

		private final Random numbers = new Random(1);

		private volatile boolean failOnce;

		@Override
		public long nextLong() {
			return this.numbers.nextLong();
		}

		@Override
		public double nextDouble() {
			if (this.failOnce) {
				this.failOnce = false;
				throw new StackOverflowError("thrown by a test");
			}
			return this.numbers.nextDouble();
		}

	}

	/**
	 * Lease store whose first call can throw an error.
	 */
	private static final class FailingLeaseStore implements LeaseStore {

		private final AtomicInteger reads = new AtomicInteger();

		private volatile boolean failOnce;

		@Override
		public CompletableFuture<LeaseAnswer> read() {
			this.reads.incrementAndGet();
			if (this.failOnce) {
				this.failOnce = false;
				throw new OutOfMemoryError("thrown by a test");
			}
			return CompletableFuture.completedFuture(new LeaseAnswer.Unavailable("test"));
		}

		@Override
		public CompletableFuture<LeaseAnswer> create(String holder) {
			return read();
		}

		@Override
		public CompletableFuture<LeaseAnswer> replace(Lease lease) {
			return read();
		}

	}

}
