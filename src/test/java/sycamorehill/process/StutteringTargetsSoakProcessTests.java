package sycamorehill.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import sycamorehill.process.PlatformNodes.PlatformNode;
import sycamorehill.process.SoakLedger.Sending;
import sycamorehill.process.SoakRequest.Kind;
import sycamorehill.process.StutteringTarget.Trouble;

/**
 * Targets that answer twice, in part or wrongly at random, beside sound ones, while nodes
 * are stopped and reconfigured. The property {@code soak.seeds} gives the number of
 * seeds, of one run each.
 */
class StutteringTargetsSoakProcessTests {

	private static final int NODES = 3;

	/** In every fifth seed. */
	private static final int MANY_NODES = 7;

	private static final int CALLERS_PER_NODE = 5;

	private static final int PLAIN_TARGETS = 6;

	private static final int STREAM_TARGETS = 3;

	private static final int MAXIMUM_ROUTES = 300;

	private static final int MAXIMUM_TROUBLE_MILLIS = 1500;

	private static final Duration TROUBLE = Duration.ofSeconds(12);

	private static final List<String> SIGNALS = List.of("TERM", "TERM", "HUP", "HUP", "HUP");

	private final ExecutorService threads = Executors.newCachedThreadPool();

	@TempDir
	private Path folder;

	// Guards against an answer that is not the target's own answer to the request.
	@Test
	void callersGetOnlyTheAnswersOfTheirRequests() throws Exception {
		int seeds = Integer.getInteger("soak.seeds", 1);
		long firstSeed = Long.getLong("soak.first", 1);
		List<String> faults = new ArrayList<>();
		for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
			Soak soak = new Soak(seed);
			soak.run();
			faults.addAll(soak.faults());
			System.out.println("soak seed " + seed + ": " + soak.summary());
		}
		faults.forEach((fault) -> System.out.println("soak fault: " + fault));
		Assertions.assertThat(faults).isEmpty();
	}

	/**
	 * One run.
	 */
	private final class Soak {

		private final long seed;

		private final Random random;

		private final SoakLedger ledger = new SoakLedger();

		private final SoakPhase phase = new SoakPhase();

		private final ObjectMapper json = new ObjectMapper();

		private final List<StutteringTarget> plain = new ArrayList<>();

		private final List<StutteringTarget> streams = new ArrayList<>();

		private final List<PlatformNode> nodes = new ArrayList<>();

		private final List<SoakAnswer> answers = new ArrayList<>();

		private final Set<PlatformNode> stopping = new HashSet<>();

		private int version = 1;

		private int stops;

		Soak(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
		}

		void run() throws Exception {
			try (PlatformNodes system = PlatformNodes.startBare(StutteringTargetsSoakProcessTests.this.folder)) {
				startTargets(system);
				configure(system, 0);
				for (int index = 0; index < ((this.seed % 5 == 0) ? MANY_NODES : NODES); index++) {
					this.nodes.add(system.startNode("node-" + index));
				}
				for (PlatformNode node : this.nodes) {
					node.awaitReady();
				}
				List<CompletableFuture<List<SoakAnswer>>> callers = startCallers();
				disturb(system);
				for (CompletableFuture<List<SoakAnswer>> caller : callers) {
					this.answers.addAll(caller.join());
				}
				this.answers.forEach(this::checkRuns);
				restartEnded();
				for (PlatformNode node : this.nodes) {
					keep(node.name(), node.process().output());
				}
			}
			finally {
				close();
			}
		}

		private void close() throws IOException {
			for (StutteringTarget target : allTargets()) {
				target.close();
			}
		}

		private List<StutteringTarget> allTargets() {
			List<StutteringTarget> targets = new ArrayList<>(this.plain);
			targets.addAll(this.streams);
			return targets;
		}

		private void startTargets(PlatformNodes system) throws IOException {
			for (int number = 0; number < PLAIN_TARGETS + STREAM_TARGETS; number++) {
				boolean streaming = number >= PLAIN_TARGETS;
				StutteringTarget target = StutteringTarget.start("target-" + number, this.ledger,
						this.seed * 100 + number);
				(streaming ? this.streams : this.plain).add(target);
				system.store()
					.write("servers", target.name(),
							this.json.createObjectNode()
								.put("service", streaming ? "streams" : "plain")
								.put("address", target.address().toString())
								.put("zone", "north")
								.put("version", 1)
								.put("batch_slots", 64)
								.put("state", "ready")
								.put("sequence", 1)
								.put("born", 1));
			}
		}

		private List<CompletableFuture<List<SoakAnswer>>> startCallers() {
			List<CompletableFuture<List<SoakAnswer>>> callers = new ArrayList<>();
			for (int number = 0; number < this.nodes.size() * CALLERS_PER_NODE; number++) {
				SoakCaller caller = new SoakCaller("c" + number, this.nodes.get(number % this.nodes.size()),
						this.ledger, this.phase, this.seed * 1000 + number);
				callers.add(CompletableFuture.supplyAsync(caller::run, StutteringTargetsSoakProcessTests.this.threads));
			}
			return callers;
		}

		private void disturb(PlatformNodes system) throws Exception {
			long end = System.nanoTime() + TROUBLE.toNanos();
			while (System.nanoTime() < end) {
				disturbTarget();
				if (this.random.nextInt(3) == 0) {
					disturbNodes(system);
				}
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(300));
				restartEnded();
			}
			allTargets().forEach(StutteringTarget::endTrouble);
			while (!this.stopping.isEmpty()) {
				TimeUnit.MILLISECONDS.sleep(50);
				restartEnded();
			}
			for (PlatformNode node : this.nodes) {
				node.awaitReady();
			}
			this.phase.endTrouble();
		}

		// In two seeds of three, only a minority of the targets is in trouble.
		private void disturbTarget() {
			boolean streaming = this.random.nextInt(3) == 0;
			List<StutteringTarget> targets = streaming ? this.streams : this.plain;
			int some = (this.seed % 3 == 0) ? targets.size() : targets.size() / 3;
			StutteringTarget target = targets.get(this.random.nextInt(some));
			Duration length = Duration.ofMillis(this.random.nextInt(MAXIMUM_TROUBLE_MILLIS));
			switch (this.random.nextInt(8)) {
				case 0 -> target.cut(length);
				case 1 -> target.standStill(length);
				case 2 -> target.setTrouble(Trouble.NONE);
				default -> target.setTrouble(new Trouble(some(AnswerForm.values()), some(SecondAnswer.values()),
						20 + this.random.nextInt(80)));
			}
		}

		private <T> List<T> some(T[] values) {
			List<T> some = new ArrayList<>(List.of(values));
			Collections.shuffle(some, this.random);
			return List.copyOf(some.subList(0, this.random.nextInt(6)));
		}

		private void disturbNodes(PlatformNodes system) throws Exception {
			PlatformNode node = this.nodes.get(this.random.nextInt(this.nodes.size()));
			switch (this.random.nextInt(3)) {
				case 0 -> sendSignals(node, 1 + this.random.nextInt(3));
				case 1 -> configure(system, this.random.nextInt(MAXIMUM_ROUTES));
				default -> {
					configure(system, this.random.nextInt(MAXIMUM_ROUTES));
					node.writeSettings(PlatformNode.GRACE_SECONDS + this.random.nextInt(3));
					node.process().signal("HUP");
				}
			}
		}

		private void sendSignals(PlatformNode node, int count) throws Exception {
			for (int number = 0; number < count; number++) {
				String signal = SIGNALS.get(this.random.nextInt(SIGNALS.size()));
				if (signal.equals("TERM") && node.process().isAlive()) {
					this.stops++;
					this.stopping.add(node);
				}
				node.process().signal(signal);
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(200));
			}
		}

		// Only a stop may end a process; until the Java process runs the command, no
		// program can handle a signal.
		private void restartEnded() throws Exception {
			for (PlatformNode node : this.nodes) {
				if (!node.process().isAlive()) {
					int exit = node.process().awaitExit();
					List<String> output = node.process().output();
					boolean started = output.stream().anyMatch((line) -> line.contains("NODE_STARTED"));
					if (started && (exit != 0 || !this.stopping.contains(node))) {
						this.ledger.addFault(node.name() + " ended with code " + exit);
					}
					keep(node.name(), output);
					this.stopping.remove(node);
					node.start();
				}
			}
		}

		private void configure(PlatformNodes system, int moreRoutes) {
			this.version += 1 + this.random.nextInt(3);
			ObjectNode spec = this.json.createObjectNode().put("version", this.version);
			spec.putArray("routes")
				.add(route(Kind.ONCE, "non_idempotent", 1))
				.add(route(Kind.AGAIN, "idempotent", 3))
				.add(route(Kind.STREAM, "streaming", 1))
				.add(route(Kind.RESUMABLE, "streaming", 3));
			for (int number = 0; number < moreRoutes; number++) {
				spec.withArray("routes")
					.add(route(Kind.AGAIN, "idempotent", 2).put("name", "more-" + number)
						.put("host", "more-" + number + ".example"));
			}
			spec.putArray("services").addObject().put("name", "plain").put("max_connections", 256);
			spec.withArray("services").addObject().put("name", "streams").put("max_connections", 256);
			spec.putObject("limits")
				.put("max_header_bytes", 16384)
				.put("max_body_bytes", 4194304)
				.put("header_timeout_ms", 3000)
				.put("idle_timeout_ms", 15000);
			system.store().write("config", "main", spec);
		}

		private ObjectNode route(Kind kind, String platformKind, int attempts) {
			return this.json.createObjectNode()
				.put("name", kind.prefix())
				.put("host", SoakRequest.HOST)
				.put("path_prefix", '/' + kind.prefix() + '/')
				.put("kind", platformKind)
				.put("timeout_ms", kind.isStream() ? 4000 : 1500)
				.put("target_latency_ms", 300)
				.put("priority", 1)
				.put("service", kind.isStream() ? "streams" : "plain")
				.put("max_attempts", attempts)
				.put("public", true)
				.put("resumable", kind == Kind.RESUMABLE);
		}

		private void checkRuns(SoakAnswer answer) {
			SoakChecks.checkRuns(answer, this.ledger.sendings(answer.request().token()))
				.ifPresent((fault) -> this.ledger
					.addFault(fault + ": " + answer + ' ' + this.ledger.sendings(answer.request().token())));
		}

		private void keep(String node, List<String> output) throws IOException {
			Path log = Path.of("target", "soak", "stuttering-" + this.seed + '-' + node + ".log");
			Files.createDirectories(log.getParent());
			Files.write(log, output, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		}

		List<String> faults() {
			return this.ledger.faults().stream().map((fault) -> "seed " + this.seed + ' ' + fault).toList();
		}

		String summary() {
			StringBuilder text = new StringBuilder(this.stops + " stops");
			for (Kind kind : Kind.values()) {
				List<SoakAnswer> own = this.answers.stream()
					.filter((answer) -> answer.request().kind() == kind)
					.toList();
				text.append(", ")
					.append(kind.prefix())
					.append(' ')
					.append(own.stream().filter((answer) -> answer.isSuccess() && answer.whole()).count())
					.append(" of ")
					.append(own.size());
			}
			Map<Integer, Long> lost = this.answers.stream()
				.filter(this::isLost)
				.collect(Collectors.groupingBy(SoakAnswer::status, TreeMap::new, Collectors.counting()));
			return text + ", sound answers to " + Kind.ONCE.prefix() + " not passed on, by status " + lost;
		}

		private boolean isLost(SoakAnswer answer) {
			List<Sending> sendings = this.ledger.sendings(answer.request().token());
			return answer.request().kind() == Kind.ONCE && !answer.isSuccess() && !answer.hasLeft()
					&& sendings.size() == 1 && sendings.get(0).answer().whole()
					&& sendings.get(0).answer().status() == 200;
		}

	}

}
