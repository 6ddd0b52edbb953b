package sycamorehill.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import sycamorehill.model.identity.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests nodes before a load balancer that hands most new connections to one of them.
 */
class LopsidedBalancerProcessTests {

	private static final int NODES = 3;

	private static final double USUAL_PER_SECOND = 40;

	/** New connections a second at one node; by hand up to 4500. */
	private static final double LOPSIDED_PER_SECOND = Integer.getInteger("lopsided.rate", 500);

	private static final int ENGINES = 8;

	private static final int CHAINS = 40;

	private static final int FEW_DESCRIPTORS = 700;

	/** Of the share of requests that were served before. */
	private static final double MINIMUM_SHARE = 0.75;

	private static final int EVENTS = 20;

	private NewConnectionCallers.Counts during;

	private NewConnectionCallers.Counts before;

	private void play(Path folder, int descriptors, boolean keepsConnections) throws Exception {
		List<NettyEngine> engines = new ArrayList<>();
		try (PlatformNodes system = PlatformNodes.startBare(folder)) {
			for (int number = 0; number < ENGINES; number++) {
				engines.add(NettyEngine.start());
				system.addEngine("netty-" + number, engines.get(number).address());
			}
			List<Address> nodes = new ArrayList<>();
			for (int number = 1; number <= NODES; number++) {
				PlatformNodes.PlatformNode node = system.startNode("node-" + number, descriptors);
				node.awaitReady();
				nodes.add(node.callers());
			}
			try (NewConnectionCallers callers = NewConnectionCallers.of(nodes, EVENTS, keepsConnections)) {
				callAll(callers);
			}
		}
		engines.forEach(NettyEngine::close);
	}

	private void callAll(NewConnectionCallers callers) throws InterruptedException {
		for (int node = 0; node < NODES; node++) {
			callers.start(node, USUAL_PER_SECOND);
		}
		TimeUnit.SECONDS.sleep(2);
		this.before = callers.count();
		TimeUnit.SECONDS.sleep(4);
		callers.count();
		for (int chain = 0; chain < CHAINS; chain++) {
			callers.start(0, LOPSIDED_PER_SECOND / CHAINS);
		}
		TimeUnit.SECONDS.sleep(3);
		this.during = callers.count();
		TimeUnit.SECONDS.sleep(6);
		callers.count();
		callers.stop();
		TimeUnit.SECONDS.sleep(6);
	}

	@Test
	void requestsAreServedAsOftenWhileMostNewConnectionsGoToOneNode(@TempDir Path folder) throws Exception {
		play(folder, PlatformNodes.PlatformNode.DESCRIPTORS, false);
		assertServedAsOften();
	}

	// Callers keep the connections that they open, more than the node has descriptors. It
	// could connect no target any more.
	@Test
	void requestsAreServedWhileCallersKeepMoreConnectionsThanTheNodeCanHold(@TempDir Path folder) throws Exception {
		play(folder, FEW_DESCRIPTORS, true);
		assertServedAsOften();
	}

	private void assertServedAsOften() {
		assertThat(this.during.servedShare()).as("before: " + this.before + ", during: " + this.during)
			.isGreaterThan(MINIMUM_SHARE * this.before.servedShare());
		assertThat(this.during.read()).isGreaterThan(this.before.read());
	}

}
