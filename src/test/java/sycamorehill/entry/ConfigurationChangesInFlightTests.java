package sycamorehill.entry;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import sycamorehill.model.serving.Configuration;
import sycamorehill.support.ConfigurationChange;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback that requests in flight get their whole answers while the
 * configuration changes. The targets go on only once the change is in force.
 */
class ConfigurationChangesInFlightTests {

	private static final Configuration FIRST = ServingSamples.configuration(1);

	private static final int VERSIONS_IN_STORM = 20;

	private static final int STORM_INTERVAL_MILLIS = 50;

	private static volatile SteppedAnswers answers = new SteppedAnswers();

	private static LoopbackCluster cluster;

	private static long version = 1;

	private RequestsInFlight requests;

	@BeforeAll
	static void startCluster() throws Exception {
		cluster = LoopbackCluster.start((request, out) -> answers.answerPlain(request, out),
				(request, out) -> answers.answerStream(request, out), List.of(), "one");
		cluster.awaitRetryShare("one");
	}

	@BeforeEach
	void sendRequests() throws Exception {
		storeAndAwait(ConfigurationChange.NOTHING);
		answers = new SteppedAnswers();
		this.requests = RequestsInFlight.of(cluster, answers, String.valueOf(version));
		this.requests.sendUndisturbed();
		this.requests.sendDisturbed();
		this.requests.awaitStarted();
	}

	@AfterEach
	void closeConnections() throws Exception {
		this.requests.close();
	}

	@AfterAll
	static void endCluster() throws Exception {
		cluster.close();
	}

	private static void storeAndAwait(ConfigurationChange change) throws Exception {
		version++;
		cluster.store(change.apply(FIRST, version));
		cluster.awaitVersion("one", version);
	}

	// A change of the configuration cuts requests in flight, or refuses them when their
	// retries are placed.
	@ParameterizedTest
	@EnumSource
	void aChangeOfTheConfigurationCutsNoRequest(ConfigurationChange change) throws Exception {
		storeAndAwait(change);
		this.requests.assertWhole();
	}

	// Versions in quick succession, each with several kinds of change, cut requests.
	@Test
	void aStormOfChangesCutsNoRequest() throws Exception {
		Random random = new Random(7);
		ConfigurationChange[] changes = ConfigurationChange.values();
		for (int number = 0; number < VERSIONS_IN_STORM; number++) {
			version++;
			Configuration many = ConfigurationChange.ROUTES_ADDED.apply(FIRST, version);
			Configuration one = changes[random.nextInt(changes.length)].apply(many, version);
			cluster.store(changes[random.nextInt(changes.length)].apply(one, version));
			Thread.sleep(STORM_INTERVAL_MILLIS);
		}
		storeAndAwait(ConfigurationChange.SERVICES_REMOVED);
		this.requests.assertWhole();
	}

	// The store shows a version that it has replaced, or a text that can't be read.
	@Test
	void aVersionThatIsPassedOverCutsNoRequest() throws Exception {
		cluster.store(ConfigurationChange.SERVICES_REMOVED.apply(FIRST, version - 1));
		cluster.failConfigurationReads();
		Thread.sleep(300);
		assertThat(cluster.hasVersion("one", version)).isTrue();
		this.requests.assertWhole();
	}

}
