package sycamorehill.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.entry.EntryNode;
import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.serving.EntrySettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a whole node whose store holds an odd entry.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class OddEntryNodeTests {

	private static final Duration PATIENCE = Duration.ofSeconds(15);

	private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"127.0.0.1\","
			+ "\"path_prefix\":\"/a/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
			+ "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"public\":true}],"
			+ "\"services\":[{\"name\":\"desk\",\"max_connections\":9}],\"limits\":{\"max_header_bytes\":16384,"
			+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

	private final AtomicReference<String> odd = new AtomicReference<>("7");

	private final AtomicReference<String> used = new AtomicReference<>();

	private final AtomicLong revision = new AtomicLong(9);

	private final HttpClient callers = HttpClient.newHttpClient();

	private static String object(String name, String spec) {
		return "{\"metadata\":{\"name\":\"" + name + "\",\"rev\":3},\"spec\":" + spec + '}';
	}

	private String answer(String path) {
		String at = "\"at\":" + this.revision.get() + '}';
		if (path.contains("watch=")) {
			boolean changed = path.contains("servers") && !path.contains("watch=" + this.revision.get());
			pause();
			return "{\"events\":[" + (changed ? events() : "") + "]," + at;
		}
		if (path.contains("/servers")) {
			return "{\"items\":[" + object("odd", this.odd.get()) + ',' + object("used", this.used.get())
					+ "],\"has_more\":false," + at;
		}
		return path.contains("/config") ? "{\"items\":[" + object("main", CONFIGURATION) + "]," + at
				: "{\"items\":[]," + at;
	}

	private String events() {
		return "{\"object\":" + object("odd", this.odd.get()) + ",\"deleted\":false},{\"object\":"
				+ object("used", this.used.get()) + ",\"deleted\":false}";
	}

	private static void pause() {
		try {
			Thread.sleep(50);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Outgoing connections don't take the ports that are searched here.
	private static int freePort() {
		return FreePorts.find(1).get(0).port();
	}

	private static EntrySettings settings(Address store, int callerPort, int readinessPort) throws IOException {
		int port = freePort();
		return PlatformSettings
			.parse("node_name=front-north-1\nip=127.0.0.1\nzone=north\nzones.north=r\nbind.front=127.0.0.1:"
					+ callerPort + "\nbind.ready=127.0.0.1:" + readinessPort + "\nport_range=" + port + ',' + (port + 1)
					+ "\nfirst_start=true\nplatform.address=" + store
					+ "\nbounds.grace_period_s=1\nbounds.budget_window_s=10\n"
					+ "bounds.retry_budget_ratio=0.2\nbounds.retry_budget_extra=103\nbounds.stall_ms=5000\n"
					+ "bounds.ceiling_window_s=5\n");
	}

	private int status(int port, String path) {
		try {
			return this.callers
				.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
					.header("Attempt-Id", "a" + System.nanoTime())
					.timeout(Duration.ofSeconds(3))
					.build(), HttpResponse.BodyHandlers.discarding())
				.statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	private void awaitStatus(int port, String path, int expected) {
		long end = System.nanoTime() + PATIENCE.toNanos();
		int last = status(port, path);
		while (last != expected && System.nanoTime() < end) {
			pause();
			last = status(port, path);
		}
		assertThat(last).as(path).isEqualTo(expected);
	}

	// Guards against nodes that don't start, or learn nothing more, because of one entry
	// of another writer.
	@ParameterizedTest
	@ValueSource(strings = { "deep", "bytes", "number" })
	void aNodeStartsAndFollowsTheListBesideAnOddEntry(String fault) throws Exception {
		this.odd.set(oddEntry(fault));
		runNode((callerPort, readinessPort) -> {
			awaitStatus(readinessPort, "/-/ready", 200);
			awaitStatus(callerPort, "/a/x", 200);
			this.used.set(this.used.get().replace("\"ready\"", "\"draining\""));
			this.revision.incrementAndGet();
			awaitStatus(callerPort, "/a/x", 503);
			assertThat(status(readinessPort, "/-/ready")).isEqualTo(200);
		});
	}

	// Guards against a target that stays in use while its entry can't be read.
	@Test
	void aTargetWhoseEntryBecomesOddIsUsedAgainOnceItIsSound() throws Exception {
		runNode((callerPort, readinessPort) -> {
			awaitStatus(callerPort, "/a/x", 200);
			String sound = this.used.getAndSet(OddEntries.with("batch_slots", "NaN"));
			this.revision.incrementAndGet();
			awaitStatus(callerPort, "/a/x", 503);
			this.used.set(sound);
			this.revision.incrementAndGet();
			awaitStatus(callerPort, "/a/x", 200);
		});
	}

	private static String oddEntry(String fault) {
		return switch (fault) {
			case "deep" -> OddEntries.with("version", "[".repeat(100_000) + "]".repeat(100_000));
			case "bytes" -> OddEntries.with("version", "\"\u00ff\u00fe\"");
			default -> OddEntries.with("batch_slots", "1e999");
		};
	}

	private void runNode(Run run) throws Exception {
		try (SignedTarget target = SignedTarget.start(); ScriptedStore store = ScriptedStore.start(this::answer)) {
			this.used.set(OddEntries.with("address", '"' + target.address().toString() + '"'));
			int callerPort = freePort();
			int readinessPort = freePort();
			EntrySettings settings = settings(store.address(), callerPort, readinessPort);
			EntryNode node = EntryNode.start(settings, (client) -> PlatformAdapter.createPorts(settings, client),
					InstantSource.system(), new Random(1));
			try {
				run.with(callerPort, readinessPort);
			}
			finally {
				node.stop();
				node.whenStopped().get(20, TimeUnit.SECONDS);
			}
		}
	}

	/**
	 * Part of a test that uses a node.
	 */
	@FunctionalInterface
	private interface Run {

		/**
		 * Uses the node.
		 * @param callerPort where the node takes requests
		 * @param readinessPort where it tells whether it is ready
		 * @throws Exception if the test fails
		 */
		void with(int callerPort, int readinessPort) throws Exception;

	}

}
