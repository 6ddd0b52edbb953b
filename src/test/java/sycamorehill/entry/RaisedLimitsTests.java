package sycamorehill.entry;

import java.net.Socket;
import java.util.List;

import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.Configuration;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests kept connections of callers whose limits a configuration raises.
 */
class RaisedLimitsTests {

	private static final long SLOW_MILLIS = 1500;

	private static Configuration withBodyLimit(long version, int bytes) {
		Configuration sample = ServingSamples.configuration(version);
		CallerLimits limits = new CallerLimits(16 * 1024, bytes, sample.limits().headerTimeout(),
				sample.limits().idleTimeout());
		return new Configuration(version, sample.routes(), sample.services(), limits, sample.workspacesByApiKey(),
				true);
	}

	// A request that the configuration allows is refused for good, because its connection
	// was opened under the limits before.
	@Test
	void aKeptConnectionTakesBodiesWithinTheRaisedLimit() throws Exception {
		try (LoopbackCluster cluster = LoopbackCluster.start(LoopbackCluster::hello, LoopbackCluster::hello, List.of(),
				"one")) {
			cluster.store(withBodyLimit(2, 10));
			cluster.awaitVersion("one", 2);
			try (KeptConnection kept = KeptConnection.open(cluster.settingsOf("one").callerAddress().port())) {
				kept.send("/again/x", "small");
				assertThat(kept.read().hasStatus(200)).isTrue();
				cluster.store(withBodyLimit(3, 1000));
				cluster.awaitVersion("one", 3);
				kept.send("/again/x", "large", "x".repeat(500));
				assertThat(kept.read()).matches((answer) -> answer.hasStatus(200));
			}
		}
	}

	private static Configuration withHeaderLimit(long version, int bytes) {
		Configuration sample = ServingSamples.configuration(version);
		CallerLimits limits = new CallerLimits(bytes, sample.limits().maximumBodyBytes(),
				sample.limits().headerTimeout(), sample.limits().idleTimeout());
		return new Configuration(version, sample.routes(), sample.services(), limits, sample.workspacesByApiKey(),
				true);
	}

	// The decoder of a connection has its limit from the start.
	@Test
	void aKeptConnectionTakesHeadsWithinTheRaisedLimit() throws Exception {
		try (LoopbackCluster cluster = LoopbackCluster.start(LoopbackCluster::hello, LoopbackCluster::hello, List.of(),
				"one")) {
			cluster.store(withHeaderLimit(2, 600));
			cluster.awaitVersion("one", 2);
			try (KeptConnection kept = KeptConnection.open(cluster.settingsOf("one").callerAddress().port())) {
				kept.send("/again/x", "small");
				assertThat(kept.read().hasStatus(200)).isTrue();
				cluster.store(withHeaderLimit(3, 8000));
				cluster.awaitVersion("one", 3);
				kept.send("/again/" + "x".repeat(2000), "large");
				assertThat(kept.read()).matches((answer) -> answer.hasStatus(200));
			}
		}
	}

	// Configurations that lower a limit are in force for kept connections as well.
	@Test
	void aKeptConnectionRefusesBodiesBeyondTheLoweredLimit() throws Exception {
		try (LoopbackCluster cluster = LoopbackCluster.start(LoopbackCluster::hello, LoopbackCluster::hello, List.of(),
				"one")) {
			try (KeptConnection kept = KeptConnection.open(cluster.settingsOf("one").callerAddress().port())) {
				kept.send("/again/x", "before", "x".repeat(500));
				assertThat(kept.read().hasStatus(200)).isTrue();
				cluster.store(withBodyLimit(2, 100));
				cluster.awaitVersion("one", 2);
				kept.send("/again/x", "after", "x".repeat(500));
				assertThat(kept.read()).matches((answer) -> answer.hasStatus(413));
			}
		}
	}

	private static String slowHello(String request) {
		try {
			Thread.sleep(request.contains("Attempt-Id: slow") ? SLOW_MILLIS : 0);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return LoopbackCluster.hello(request);
	}

	// Guards against a refused request whose first line was lost with the replaced
	// decoder.
	@Test
	void aHeadThatBeganUnderTheLimitsBeforeIsRead() throws Exception {
		try (LoopbackCluster cluster = LoopbackCluster.start(RaisedLimitsTests::slowHello, LoopbackCluster::hello,
				List.of(), "one")) {
			try (Socket caller = new Socket("127.0.0.1", cluster.settingsOf("one").callerAddress().port())) {
				String next = CallerNode.request("/again/x", "next", "Connection: close");
				int cut = next.indexOf("Host:");
				CallerNode.send(caller, CallerNode.request("/again/x", "slow") + next.substring(0, cut));
				cluster.store(withHeaderLimit(2, 9000));
				cluster.awaitVersion("one", 2);
				CallerNode.readUntil(caller, "hello");
				CallerNode.send(caller, next.substring(cut));
				assertThat(CallerNode.readAll(caller)).startsWith("HTTP/1.1 200");
			}
		}
	}

	// Guards against a connection that keeps its limits for good after a head that began
	// under them.
	@Test
	void theRequestBehindABegunHeadHasTheRaisedLimit() throws Exception {
		try (LoopbackCluster cluster = LoopbackCluster.start(RaisedLimitsTests::slowHello, LoopbackCluster::hello,
				List.of(), "one")) {
			cluster.store(withHeaderLimit(2, 600));
			cluster.awaitVersion("one", 2);
			try (Socket caller = new Socket("127.0.0.1", cluster.settingsOf("one").callerAddress().port())) {
				String begun = CallerNode.request("/again/x", "begun");
				int cut = begun.indexOf("Host:");
				CallerNode.send(caller, CallerNode.request("/again/x", "slow") + begun.substring(0, cut));
				cluster.store(withHeaderLimit(3, 8000));
				cluster.awaitVersion("one", 3);
				CallerNode.readUntil(caller, "hello");
				CallerNode.send(caller, begun.substring(cut));
				assertThat(CallerNode.readUntil(caller, "hello")).contains("HTTP/1.1 200");
				CallerNode.send(caller, CallerNode.request("/again/" + "x".repeat(2000), "large", "Connection: close"));
				assertThat(CallerNode.readAll(caller)).contains("HTTP/1.1 200");
			}
		}
	}

}
