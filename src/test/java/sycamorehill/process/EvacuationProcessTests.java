package sycamorehill.process;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import sycamorehill.process.PlatformNodes.PlatformNode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Evacuations in the store and nodes as processes: what is written there takes effect at
 * all nodes.
 */
class EvacuationProcessTests {

	private static final Duration EVACUATION_TIME = Duration.ofSeconds(5);

	private static final int CALLS = 30;

	@TempDir
	private Path folder;

	// Guards against an object that is misread, and against one wrong object that keeps
	// others from taking effect.
	@Test
	void nodesSendNothingToTheEvacuatedDataCentreBesideObjectsThatCannotBeRead() throws Exception {
		try (PlatformNodes system = PlatformNodes.start(this.folder)) {
			List<PlatformNode> nodes = new ArrayList<>(List.of(system.startNode("node-0"), system.startNode("node-1")));
			for (PlatformNode node : nodes) {
				node.awaitReady();
			}
			callAll(nodes);
			system.store().write("evacuations", " ", new ObjectMapper().createObjectNode());
			system.store().write("evacuations", "nroth", new ObjectMapper().createObjectNode());
			Instant stored = Instant.now();
			system.evacuate(true);
			for (PlatformNode node : nodes) {
				node.process().awaitEvent("SYC-1922");
			}
			assertThat(Duration.between(stored, Instant.now())).isLessThan(EVACUATION_TIME);
			List<String> logged = nodes.stream().flatMap((node) -> node.process().output().stream()).toList();
			assertThat(logged).anyMatch((line) -> line.contains("SYC-1922") && line.contains("data-centre=north"))
				.anyMatch((line) -> line.contains("SYC-1924") && line.contains("nroth"))
				.anyMatch((line) -> line.contains("SYC-1804") && line.contains("kind=evacuations"));
			int before = system.requests(1);
			assertThat(before).as("requests before the evacuation").isPositive();
			callAll(nodes);
			assertThat(system.requests(1)).isEqualTo(before);
			nodes.add(system.startNode("node-2"));
			nodes.get(2).awaitReady();
			callAll(List.of(nodes.get(2)));
			assertThat(system.requests(1)).as("a node that started meanwhile").isEqualTo(before);
			system.evacuate(false);
			for (PlatformNode node : nodes) {
				node.process().awaitEvent("SYC-1923");
			}
			callAll(nodes);
			assertThat(system.requests(1)).isGreaterThan(before);
		}
	}

	private static void callAll(List<PlatformNode> nodes) throws Exception {
		for (int number = 0; number < CALLS; number++) {
			try (StreamCaller caller = StreamCaller.connect(nodes.get(number % nodes.size()).callers())) {
				assertThat(caller.call(1).status()).isEqualTo(200);
			}
		}
	}

}
