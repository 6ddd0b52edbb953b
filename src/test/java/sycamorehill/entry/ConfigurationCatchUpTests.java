package sycamorehill.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests two entry nodes over loopback, "a" and "b". Node "a" reads the store for both
 * until the store stops answering it.
 */
class ConfigurationCatchUpTests {

	private static final long LAST_VERSION = 10;

	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(10);

	private final List<EntrySettings> settings = List.of(settings("a"), settings("b"));

	private final ChangingConfigurations ofReader = new ChangingConfigurations();

	private final ChangingConfigurations ofOther = new ChangingConfigurations();

	private final List<EntryNode> nodes = new CopyOnWriteArrayList<>();

	@AfterEach
	void end() {
		this.nodes.forEach(EntryNode::stop);
	}

	private static EntrySettings settings(String name) {
		List<Address> free = FreePorts.find(5);
		EntrySettings sample = ServingSamples.settings(name);
		return new EntrySettings(name, sample.dataCentre(), List.of(DataCentreName.of("north")), 0.75, 4200,
				free.get(0), free.get(1), free.get(2), free.get(4), free.get(3), true, sample.stopTime(),
				sample.retryWindow(), sample.retryRatio(), sample.retryAllowance(), sample.stallTime(),
				sample.loadWindow());
	}

	private void start(EntrySettings node, ChangingConfigurations configurations) throws InterruptedException {
		List<NodeRecord> records = this.settings.stream().map(EntrySettings::toNodeRecord).toList();
		this.nodes.add(EntryNode.start(node,
				(client) -> new EntryPorts(PlatformTestCodec.create(), configurations,
						(text) -> stored(Long.parseLong(text)), new UnchangedTargets(), new FixedRegistry(records),
						new FakePorts.UnavailableLeaseStore(), new FakePorts.UnreachableEngines()),
				Clock.systemUTC(), new Random(1)));
	}

	private static StoredConfiguration stored(long version) {
		return new StoredConfiguration(ServingSamples.configuration(version), Long.toString(version));
	}

	private static void await(String condition, BooleanSupplier fulfilled) throws InterruptedException {
		Instant end = Instant.now().plus(MAXIMUM_WAIT);
		while (!fulfilled.getAsBoolean()) {
			assertThat(Instant.now()).as(condition).isBefore(end);
			Thread.sleep(20);
		}
	}

	private long version(EntrySettings node) {
		try (Socket socket = new Socket("127.0.0.1", node.peerAddress().port())) {
			socket.getOutputStream()
				.write("GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			String page = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			return page.lines()
				.filter((line) -> line.startsWith("configuration_version "))
				.mapToLong((line) -> (long) Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
				.findFirst()
				.orElse(0);
		}
		catch (IOException ex) {
			return 0;
		}
	}

	// An answer with each version since the node's own last read takes longer than a call
	// may.
	@Test
	void aNodeThatBeginsToReadAsksOnlyForVersionsThatItHasNotReceived() throws Exception {
		start(this.settings.get(0), this.ofReader);
		await("node a reads", () -> version(this.settings.get(0)) == 1);
		start(this.settings.get(1), this.ofOther);
		await("node b has started", () -> version(this.settings.get(1)) == 1);
		Thread.sleep(1000);
		for (long version = 2; version <= LAST_VERSION; version++) {
			this.ofReader.store(version);
			this.ofOther.store(version);
			Thread.sleep(300);
		}
		await("node b has received the last version", () -> version(this.settings.get(1)) == LAST_VERSION);
		Thread.sleep(500);
		this.ofOther.requestedRevisions.clear();
		this.ofReader.answers = false;
		await("node b reads", () -> !this.ofOther.requestedRevisions.isEmpty());
		assertThat(this.ofOther.requestedRevisions.get(0)).isEqualTo(LAST_VERSION);
	}

	/**
	 * Configurations as the store shows them to one node. The revision of each is its
	 * version.
	 */
	private static final class ChangingConfigurations implements Feed<StoredConfiguration> {

		private final List<Long> requestedRevisions = new CopyOnWriteArrayList<>();

		private volatile CompletableFuture<Void> nextVersion = new CompletableFuture<>();

		private volatile long newest = 1;

		private volatile boolean answers = true;

		void store(long version) {
			CompletableFuture<Void> stored = this.nextVersion;
			this.nextVersion = new CompletableFuture<>();
			this.newest = version;
			stored.complete(null);
		}

		@Override
		public CompletableFuture<Page<StoredConfiguration>> list() {
			return CompletableFuture.completedFuture(new Page<>(List.of(stored(this.newest)), this.newest));
		}

		@Override
		public CompletableFuture<Page<StoredConfiguration>> listCopy() {
			return list();
		}

		@Override
		public CompletableFuture<Page<StoredConfiguration>> changes(long since, Duration wait) {
			this.requestedRevisions.add(since);
			if (!this.answers) {
				return CompletableFuture.failedFuture(new IOException("refused"));
			}
			CompletableFuture<Void> changed = (since < this.newest) ? CompletableFuture.completedFuture(null)
					: this.nextVersion.copy().completeOnTimeout(null, wait.toMillis(), TimeUnit.MILLISECONDS);
			return changed.thenApply((done) -> changesSince(since));
		}

		private Page<StoredConfiguration> changesSince(long since) {
			long revision = this.newest;
			return new Page<>(
					LongStream.rangeClosed(since + 1, revision).mapToObj(ConfigurationCatchUpTests::stored).toList(),
					revision);
		}

	}

	/**
	 * Targets that never change.
	 */
	private static final class UnchangedTargets implements Feed<TargetChange> {

		@Override
		public CompletableFuture<Page<TargetChange>> list() {
			return CompletableFuture.completedFuture(new Page<>(List.of(), 1));
		}

		@Override
		public CompletableFuture<Page<TargetChange>> listCopy() {
			return list();
		}

		@Override
		public CompletableFuture<Page<TargetChange>> changes(long since, Duration wait) {
			return new CompletableFuture<Page<TargetChange>>().completeOnTimeout(new Page<>(List.of(), 1),
					wait.toMillis(), TimeUnit.MILLISECONDS);
		}

	}

	/**
	 * Registry that always lists the same nodes.
	 *
	 * @param nodes the nodes
	 */
	private record FixedRegistry(List<NodeRecord> nodes) implements NodeRegistry {

		@Override
		public CompletableFuture<Optional<EarlierEntry>> register(NodeRecord node, String incarnation) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

		@Override
		public CompletableFuture<List<NodeRecord>> list(boolean consistent) {
			return CompletableFuture.completedFuture(this.nodes);
		}

		@Override
		public CompletableFuture<Void> deregister(String name) {
			return CompletableFuture.completedFuture(null);
		}

	}

}
