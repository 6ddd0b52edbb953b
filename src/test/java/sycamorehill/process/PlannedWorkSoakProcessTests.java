package sycamorehill.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import sycamorehill.process.PlatformNodes.PlatformNode;
import sycamorehill.process.StreamCaller.StreamAnswer;

/**
 * Planned work at random while streams run: stops, reloads, configurations and the
 * evacuation of a data centre come in series and overlap. The property {@code soak.seeds}
 * gives the number of seeds, of one run each.
 */
class PlannedWorkSoakProcessTests {

	private static final int NODES = 3;

	private static final int CALLERS_PER_NODE = 4;

	private static final int MAXIMUM_EVENTS = 50;

	private static final int MAXIMUM_ROUTES = 800;

	private static final Duration LENGTH = Duration.ofSeconds(18);

	private static final List<String> SIGNALS = List.of("TERM", "TERM", "INT", "HUP", "HUP");

	private final ExecutorService threads = Executors.newCachedThreadPool();

	@TempDir
	private Path folder;

	// Guards against planned work that ends a process or a connection within an answer.
	@Test
	void plannedWorkCutsNoAnswer() throws Exception {
		int seeds = Integer.getInteger("soak.seeds", 1);
		long firstSeed = Long.getLong("soak.first", 1);
		List<String> faults = new ArrayList<>();
		for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
			Soak soak = new Soak(seed);
			faults.addAll(soak.run());
			System.out.println("soak seed " + seed + ": " + soak.whole.get() + " whole, " + soak.unanswered.get()
					+ " closed unanswered, " + soak.stops + " stops, faults " + soak.faults);
		}
		Assertions.assertThat(faults).isEmpty();
	}

	/**
	 * One run.
	 */
	private final class Soak {

		private final long seed;

		private final Random random;

		private final Queue<String> faults = new ConcurrentLinkedQueue<>();

		private final AtomicInteger whole = new AtomicInteger();

		private final AtomicInteger unanswered = new AtomicInteger();

		private final long end = System.nanoTime() + LENGTH.toNanos();

		private int version = 1;

		private int stops;

		Soak(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
		}

		List<String> run() throws Exception {
			try (PlatformNodes system = PlatformNodes.start(PlannedWorkSoakProcessTests.this.folder)) {
				List<PlatformNode> nodes = new ArrayList<>();
				for (int index = 0; index < NODES; index++) {
					nodes.add(system.startNode("node-" + index));
				}
				for (PlatformNode node : nodes) {
					node.awaitReady();
				}
				List<CompletableFuture<Void>> callers = new ArrayList<>();
				for (int caller = 0; caller < NODES * CALLERS_PER_NODE; caller++) {
					PlatformNode node = nodes.get(caller % NODES);
					Random draws = new Random(this.seed * 1000 + caller);
					callers.add(CompletableFuture.runAsync(() -> call(node, draws), threads()));
				}
				while (System.nanoTime() < this.end) {
					disturb(system, nodes.get(this.random.nextInt(NODES)));
					TimeUnit.MILLISECONDS.sleep(this.random.nextInt(600));
					restartEnded(nodes);
				}
				callers.forEach(CompletableFuture::join);
				for (PlatformNode node : nodes) {
					keep(node.name(), node.process().output());
				}
			}
			return List.copyOf(this.faults);
		}

		private ExecutorService threads() {
			return PlannedWorkSoakProcessTests.this.threads;
		}

		private void disturb(PlatformNodes system, PlatformNode node) throws Exception {
			switch (this.random.nextInt(5)) {
				case 0 -> sendSignals(node, this.random.nextInt(4) + 1);
				case 1 -> changeConfiguration(system, this.random.nextInt(10) + 1);
				case 2 -> reload(node);
				case 3 -> system.evacuate(this.random.nextBoolean());
				default -> {
					changeConfiguration(system, 2);
					sendSignals(node, 2);
				}
			}
		}

		private void sendSignals(PlatformNode node, int count) throws Exception {
			this.stops++;
			for (int signal = 0; signal < count; signal++) {
				node.process().signal(SIGNALS.get(this.random.nextInt(SIGNALS.size())));
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(300));
			}
		}

		private void changeConfiguration(PlatformNodes system, int count) throws InterruptedException {
			for (int change = 0; change < count; change++) {
				this.version += 1 + this.random.nextInt(3);
				system.configure(this.version, this.random.nextBoolean() ? 0 : this.random.nextInt(MAXIMUM_ROUTES));
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(60));
			}
		}

		private void reload(PlatformNode node) throws Exception {
			node.writeSettings(PlatformNode.GRACE_SECONDS + this.random.nextInt(3));
			node.process().signal("HUP");
		}

		// The platform starts a process again that has ended. Only a stop may end it;
		// until
		// the Java process runs the command, no program can handle a signal.
		private void restartEnded(List<PlatformNode> nodes) throws Exception {
			for (PlatformNode node : nodes) {
				if (!node.process().isAlive()) {
					int exit = node.process().awaitExit();
					List<String> output = node.process().output();
					if (exit != 0 && output.stream().anyMatch((line) -> line.contains("NODE_STARTED"))) {
						this.faults.add(node.name() + " ended with code " + exit);
					}
					keep(node.name(), output);
					node.start();
				}
			}
		}

		private void keep(String node, List<String> output) throws IOException {
			Path log = Path.of("target", "soak", this.seed + "-" + node + ".log");
			Files.createDirectories(log.getParent());
			Files.write(log, output, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		}

		private void call(PlatformNode node, Random draws) {
			while (System.nanoTime() < this.end) {
				try (StreamCaller caller = StreamCaller.connect(node.callers())) {
					callOnOneConnection(node, caller, draws);
				}
				catch (IOException ex) {
					pause(draws);
				}
			}
		}

		private void callOnOneConnection(PlatformNode node, StreamCaller caller, Random draws) {
			while (System.nanoTime() < this.end && !caller.isCloseAnnounced()) {
				int events = 1 + draws.nextInt(MAXIMUM_EVENTS);
				StreamAnswer answer = caller.call(events);
				if (answer.status() == 0) {
					this.unanswered.incrementAndGet();
					return;
				}
				if (!answer.whole() || (answer.status() == 200 && answer.events() != events)) {
					this.faults.add(node.name() + ": " + answer);
					return;
				}
				this.whole.incrementAndGet();
				pause(draws);
			}
		}

		private void pause(Random draws) {
			try {
				TimeUnit.MILLISECONDS.sleep(draws.nextInt(120));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
