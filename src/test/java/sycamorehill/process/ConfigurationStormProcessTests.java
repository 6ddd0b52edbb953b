package sycamorehill.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import sycamorehill.model.identity.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the memory of entry nodes, and the streams through them, while configurations
 * come in quick succession. The sizes grow with system properties: {@code storm.routes},
 * {@code storm.streams}, {@code storm.unread} (callers that don't read),
 * {@code storm.unread-bytes} (size of their events), {@code storm.bodies} (callers that
 * don't end a body of 1 MiB) and {@code storm.rounds}.
 */
class ConfigurationStormProcessTests {

	private static final int VERSIONS = 20;

	private static final long VERSION_INTERVAL_MILLIS = 250;

	private static final int STREAM_EVENTS = 30;

	private static final int EVENT_INTERVAL_MILLIS = 50;

	/** Memory of a machine, at which the platform kills the process. */
	private static final long MACHINE_KILOBYTES = 430_000;

	private static final int TARGETS = 8;

	private static final int BODY_BYTES = 1024 * 1024;

	@TempDir
	private Path directory;

	private final List<StormTarget> targets = new ArrayList<>();

	private final List<StormNode> nodes = new ArrayList<>();

	private final List<StormCallers> callers = new ArrayList<>();

	private final ThreadDelays delays = ThreadDelays.start();

	private StormStore store;

	@BeforeEach
	void begin() throws Exception {
		List<Address> addresses = new ArrayList<>();
		for (int number = 0; number < TARGETS; number++) {
			StormTarget target = StormTarget.start();
			this.targets.add(target);
			addresses.add(target.address());
		}
		this.store = StormStore.start(addresses);
		this.store.put(1, routes());
		for (String name : List.of("one", "two")) {
			StormNode node = StormNode.start(name, this.store.address(), this.directory, Map.of());
			this.nodes.add(node);
			this.callers.add(StormCallers.of(node.callers()));
		}
	}

	@AfterEach
	void end() throws Exception {
		this.delays.close();
		for (StormCallers each : this.callers) {
			each.close();
		}
		for (StormNode node : this.nodes) {
			node.close();
		}
		for (StormTarget target : this.targets) {
			target.close();
		}
		this.store.close();
	}

	private static int routes() {
		return Integer.getInteger("storm.routes", 350);
	}

	private void storm(int firstVersion) throws InterruptedException {
		for (int version = firstVersion; version < firstVersion + VERSIONS; version++) {
			this.store.put(version, routes());
			for (int part = 0; part < 2; part++) {
				Thread.sleep(VERSION_INTERVAL_MILLIS / 2);
				this.nodes.forEach(StormNode::measure);
			}
		}
	}

	private void print(String what) throws IOException {
		for (int index = 0; index < this.nodes.size(); index++) {
			System.out.println("storm " + what + ", node " + index + ": " + this.nodes.get(index).summary() + "; "
					+ this.callers.get(index).summary());
		}
	}

	// One node reads the store, the other one is told by it: neither may run out of
	// memory, end or cut a stream.
	@Test
	void twentyVersionsInFiveSecondsCutNoStreamAndLeaveMemory() throws Exception {
		for (StormCallers each : this.callers) {
			each.startStreams(Integer.getInteger("storm.streams", 85), STREAM_EVENTS, EVENT_INTERVAL_MILLIS);
		}
		Thread.sleep(1000);
		int version = 2;
		for (int round = 0; round < Integer.getInteger("storm.rounds", 1); round++) {
			storm(version);
			version += VERSIONS;
			print("round " + round + " of " + routes() + " routes");
		}
		assertSound(version - 1);
	}

	// Callers that don't read their streams, and others that don't end their bodies, take
	// memory that a node needs for everybody: all its streams were cut.
	@Test
	void slowCallersCutNoStreamOfOthers() throws Exception {
		StormCallers first = this.callers.get(0);
		first.startStreams(Integer.getInteger("storm.streams", 85), STREAM_EVENTS, EVENT_INTERVAL_MILLIS);
		Thread.sleep(1000);
		first.startUnread(Integer.getInteger("storm.unread", 300), Integer.getInteger("storm.unread-bytes", 32_768));
		first.startBodies(Integer.getInteger("storm.bodies", 100), BODY_BYTES);
		storm(2);
		assertSound(VERSIONS + 1);
		assertThat(this.nodes.get(0).logText())
			.as("longest time without an event, in ms, of each target: %s; longest delay of a thread of the test: %d ms",
					this.targets.stream().map(StormTarget::longestSilenceMillis).toList(), this.delays.longestMillis())
			.doesNotContain("TARGET_SILENT");
	}

	private void assertSound(int lastVersion) throws Exception {
		Thread.sleep(2000);
		this.nodes.forEach(StormNode::measure);
		print("end");
		for (int index = 0; index < this.nodes.size(); index++) {
			StormNode node = this.nodes.get(index);
			assertThat(node.isAlive()).isTrue();
			assertThat(node.logText()).contains("CONFIGURATION_IN_FORCE version=" + lastVersion)
				.doesNotContain("OutOfMemoryError", "Cannot reserve");
			assertThat(this.callers.get(index).cut()).isZero();
			assertThat(node.residentKilobytes()).isLessThan(MACHINE_KILOBYTES);
			assertThat(node.maximum("loop_failures")).isZero();
		}
		assertThat(this.callers.get(0).whole()).isPositive();
	}

}
