package sycamorehill.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.logic.dispatch.RequestDispatcher;
import sycamorehill.logic.dispatch.RetryShare;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

/**
 * Simulates nodes that stream answers of engines some of which fall silent together. The
 * decisions and the detection of silences are the real ones; engines and callers are
 * played in virtual time, without a network.
 */
final class SilentEngineWorld {

	private static final Duration STEP = Duration.ofMillis(25);

	private static final Duration WARM_UP = Duration.ofSeconds(15);

	private static final Duration AFTER_PAUSE = Duration.ofSeconds(8);

	private static final Duration STORM_TIME = Duration.ofSeconds(1);

	private static final int EVENT_STEPS = 2;

	private static final int FIRST_EVENT_STEPS = 6;

	private static final int EVENTS = 30;

	private static final int STREAMS_PER_NODE = 8;

	/** Requests that an engine queues beyond its slots. */
	private static final int QUEUE = 4;

	private static final Duration LATE_PAUSE = Duration.ofSeconds(1);

	private static final int RETRIES_OF_ALL_NODES = 60;

	private static final double RETRY_RATIO = 0.2;

	private static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

	/** About the duration of a stream. */
	private static final int STREAM_MILLIS = 1600;

	private final Random random;

	private final double silentShare;

	private final Duration pause;

	private final Ending ending;

	private final List<Node> nodes = new ArrayList<>();

	private final Map<TargetName, Engine> engines = new LinkedHashMap<>();

	private final Map<TargetName, Set<Integer>> silenceReports = new HashMap<>();

	private Instant now = Instant.ofEpochSecond(1000);

	private Instant silentFrom = Instant.MAX;

	private int begun;

	private int broken;

	private int refused;

	private int late;

	private int retries;

	private int retriesInStorm;

	private int retriesAtSilentEngines;

	private int mostAttemptsAtOnce;

	private SilentEngineWorld(int nodeCount, double silentShare, Duration pause, Ending ending, long seed) {
		this.random = new Random(seed);
		this.silentShare = silentShare;
		this.pause = pause;
		this.ending = ending;
		List<TargetEntry> entries = new ArrayList<>();
		for (int group = 0; group < 2 * nodeCount + 2; group++) {
			TargetEntry head = ServingSamples.member("h" + group, "small." + group, 1, 0, MemberState.OPEN);
			entries.add(head);
			entries.add(ServingSamples.member("m" + group, "small." + group, 1, 1, MemberState.READY));
			this.engines.put(head.name(), new Engine(head.name()));
		}
		for (int index = 0; index < nodeCount; index++) {
			this.nodes.add(new Node(index, nodeCount, entries));
		}
	}

	/**
	 * Plays a silence.
	 * @param nodes number of nodes
	 * @param silentShare share of the engines that fall silent
	 * @param pause how long they are silent
	 * @param ending what happens then
	 * @param seed seed of the random choices
	 * @return what callers got
	 */
	static Result play(int nodes, double silentShare, Duration pause, Ending ending, long seed) {
		return new SilentEngineWorld(nodes, silentShare, pause, ending, seed).play();
	}

	/**
	 * Returns how many retries all nodes may send together in a window.
	 * @param nodes number of nodes
	 * @return the number
	 */
	static int retryBudget(int nodes) {
		double requests = nodes * STREAMS_PER_NODE * RETRY_WINDOW.toMillis() / (double) STREAM_MILLIS;
		return RETRIES_OF_ALL_NODES + (int) (RETRY_RATIO * requests);
	}

	private Result play() {
		run(WARM_UP);
		this.begun = 0;
		this.silentFrom = this.now;
		List<Engine> silent = silence();
		run(this.pause);
		silent.forEach(Engine::endSilence);
		run(AFTER_PAUSE);
		return new Result(this.begun, this.broken, this.refused, this.late, this.retries, this.retriesInStorm,
				this.retriesAtSilentEngines, this.mostAttemptsAtOnce);
	}

	private List<Engine> silence() {
		List<Engine> all = new ArrayList<>(this.engines.values());
		Collections.shuffle(all, this.random);
		List<Engine> silent = all.subList(0, (int) Math.round(this.silentShare * all.size()));
		silent.forEach((engine) -> engine.silent = true);
		return silent;
	}

	private void run(Duration time) {
		for (Instant end = this.now.plus(time); this.now.isBefore(end);) {
			this.now = this.now.plus(STEP);
			this.engines.values().forEach(Engine::advance);
			this.nodes.forEach(Node::advance);
		}
	}

	private long nanos() {
		return Duration.between(Instant.EPOCH, this.now).toNanos();
	}

	private void reportSilence(int node, TargetName target) {
		Set<Integer> reporters = this.silenceReports.computeIfAbsent(target, (name) -> new HashSet<>());
		if (reporters.add(node) && reporters.size() == 2) {
			this.nodes.forEach((each) -> each
				.handle((effects) -> each.dispatcher.handleReportedSilence(target, "others", this.now, effects)));
		}
	}

	/**
	 * What engines do at the end of their silence.
	 */
	enum Ending {

		/** They go on with all that they have. */
		GOES_ON,

		/** They go on with what they ran, and refuse what came while they were silent. */
		REFUSES_WAITING,

		/** They break off everything. */
		DIES

	}

	/**
	 * What callers got from the beginning of the silence on.
	 *
	 * @param begun streams that callers began
	 * @param broken streams that were cut within
	 * @param refused streams that got another answer
	 * @param late streams with a pause of over a second between two events
	 * @param retries attempts beyond the first of each stream
	 * @param retriesInStorm those within the second after the first of them
	 * @param retriesAtSilentEngines those that were sent to a silent engine
	 * @param mostAttemptsAtOnce most attempts of a stream at the same time
	 */
	record Result(int begun, int broken, int refused, int late, int retries, int retriesInStorm,
			int retriesAtSilentEngines, int mostAttemptsAtOnce) {

		static final Result NONE = new Result(0, 0, 0, 0, 0, 0, 0, 0);

		Result plus(Result other) {
			return new Result(this.begun + other.begun, this.broken + other.broken, this.refused + other.refused,
					this.late + other.late, this.retries + other.retries, this.retriesInStorm + other.retriesInStorm,
					this.retriesAtSilentEngines + other.retriesAtSilentEngines,
					Math.max(this.mostAttemptsAtOnce, other.mostAttemptsAtOnce));
		}

	}

	/**
	 * An engine that runs streams in its slots and queues a few more.
	 */
	private final class Engine {

		private final TargetName name;

		private final List<Run> runs = new ArrayList<>();

		private boolean silent;

		Engine(TargetName name) {
			this.name = name;
		}

		private void offer(Run run) {
			run.cameInSilence = this.silent;
			this.runs.add(run);
			if (!this.silent && this.runs.size() > ServingSamples.engineFigures().slots() + QUEUE) {
				end(run, new AttemptEnd.NotRun(NotRunCause.REFUSED));
			}
		}

		private void end(Run run, AttemptEnd end) {
			this.runs.remove(run);
			run.stream.node.handleEnd(run, end);
		}

		private void endSilence() {
			this.silent = false;
			int room = ServingSamples.engineFigures().slots() + QUEUE;
			for (Run run : List.copyOf(this.runs)) {
				boolean refused = this.runs.indexOf(run) >= room
						|| SilentEngineWorld.this.ending == Ending.REFUSES_WAITING && run.cameInSilence;
				if (SilentEngineWorld.this.ending == Ending.DIES) {
					end(run, (run.stream.events > 0) ? new AttemptEnd.Broken("reset", true, true)
							: new AttemptEnd.Unknown("reset", true));
				}
				else if (refused) {
					end(run, new AttemptEnd.NotRun(NotRunCause.REFUSED));
				}
			}
		}

		private void advance() {
			if (this.silent) {
				return;
			}
			int slots = ServingSamples.engineFigures().slots();
			for (Run run : List.copyOf(this.runs.subList(0, Math.min(slots, this.runs.size())))) {
				if (this.runs.contains(run)) {
					run.advance(this);
				}
			}
		}

	}

	/**
	 * An attempt at an engine.
	 */
	private final class Run {

		private final Stream stream;

		private final int attempt;

		private final Engine engine;

		private int steps;

		private int events;

		private boolean cameInSilence;

		Run(Stream stream, int attempt, Engine engine) {
			this.stream = stream;
			this.attempt = attempt;
			this.engine = engine;
		}

		private void advance(Engine at) {
			this.steps++;
			int due = this.steps - FIRST_EVENT_STEPS;
			if (due < 0 || due % EVENT_STEPS != 0) {
				return;
			}
			this.events++;
			this.stream.node.handleEvent(this);
			if (this.stream.events == EVENTS) {
				at.end(this, new AttemptEnd.Delivered(200, Duration.ZERO));
			}
		}

	}

	/**
	 * A stream of a caller.
	 */
	private final class Stream {

		private final Node node;

		private final long number;

		private final Map<Integer, Run> runs = new TreeMap<>();

		private final Instant deadline = SilentEngineWorld.this.now.plusSeconds(6);

		private int events;

		private Instant lastEvent = SilentEngineWorld.this.now;

		private Duration longestPause = Duration.ZERO;

		Stream(Node node, long number) {
			this.node = node;
			this.number = number;
		}

		private void recordEvent() {
			Duration since = Duration.between(this.lastEvent, SilentEngineWorld.this.now);
			if (this.events > 0 && since.compareTo(this.longestPause) > 0) {
				this.longestPause = since;
			}
			this.events++;
			this.lastEvent = SilentEngineWorld.this.now;
		}

	}

	/**
	 * A node with the real decisions and detection of silences.
	 */
	private final class Node {

		private final int index;

		private final RequestDispatcher dispatcher;

		private final StreamMonitor monitor;

		private final Map<Long, Stream> streams = new LinkedHashMap<>();

		private long lastNumber;

		Node(int index, int nodeCount, List<TargetEntry> entries) {
			this.index = index;
			TargetDirectory directory = TargetDirectory.create();
			this.dispatcher = RequestDispatcher.of(ServingSamples.settings(index, "north"), directory,
					new Random(SilentEngineWorld.this.random.nextLong()));
			directory.replaceAll(entries, SilentEngineWorld.this.now);
			this.dispatcher.adopt(ServingSamples.configuration(1));
			List<NodeRecord> peers = IntStream.range(0, nodeCount)
				.filter((other) -> other != index)
				.mapToObj((other) -> ServingSamples.node("n" + other, 10_000 + other))
				.toList();
			this.dispatcher.updateNodes(nodeCount, peers, SilentEngineWorld.this.now, Effects.create());
			this.dispatcher.updateRetryShare(new RetryShare(RETRIES_OF_ALL_NODES / nodeCount, nodeCount, 0));
			this.monitor = StreamMonitor.of(this::handleEvent, SilentEngineWorld.this::nanos, Runnable::run);
		}

		private void advance() {
			if (SilentEngineWorld.this.random.nextDouble() < STREAMS_PER_NODE * STEP.toMillis()
					/ (double) STREAM_MILLIS) {
				begin();
			}
			this.streams.values()
				.stream()
				.filter((stream) -> !SilentEngineWorld.this.now.isBefore(stream.deadline))
				.toList()
				.forEach((stream) -> handle((effects) -> this.dispatcher.handleTimeout(stream.number,
						SilentEngineWorld.this.now, effects)));
			this.monitor.check();
			handle((effects) -> this.dispatcher.tick(SilentEngineWorld.this.now, effects));
		}

		private void begin() {
			this.lastNumber++;
			Stream stream = new Stream(this, this.lastNumber);
			this.streams.put(stream.number, stream);
			SilentEngineWorld.this.begun++;
			handle((effects) -> this.dispatcher.handleRequest(ServingSamples.request(stream.number, "/stream/x"),
					SilentEngineWorld.this.now, SilentEngineWorld.this.now, effects));
		}

		private void handle(Consumer<Effects> action) {
			Effects effects = Effects.create();
			action.accept(effects);
			effects.all().forEach(this::execute);
		}

		private void execute(EntryEffect effect) {
			if (effect instanceof EntryEffect.StartAttempt start) {
				startAttempt(start);
			}
			else if (effect instanceof EntryEffect.CancelAttempt cancel) {
				Stream stream = this.streams.get(cancel.number());
				if (stream != null) {
					cancel(stream, cancel.attempt());
				}
			}
			else if (effect instanceof EntryEffect.AbortAnswer abort) {
				SilentEngineWorld.this.broken++;
				finish(abort.number());
			}
			else if (effect instanceof EntryEffect.Answer answer) {
				SilentEngineWorld.this.refused++;
				finish(answer.number());
			}
			else if (effect instanceof EntryEffect.ProbeTargets probe) {
				probe.targets().forEach(this::probe);
			}
		}

		private void probe(TargetAddress target) {
			this.monitor.markPathProven();
			handle((effects) -> this.dispatcher.handleConnected(target.name(), SilentEngineWorld.this.now, effects));
		}

		private void startAttempt(EntryEffect.StartAttempt start) {
			Stream stream = this.streams.get(start.number());
			Engine engine = SilentEngineWorld.this.engines.get(start.target().name());
			if (start.attempt() > 1) {
				countRetry(engine);
			}
			Run run = new Run(stream, start.attempt(), engine);
			stream.runs.put(start.attempt(), run);
			SilentEngineWorld.this.mostAttemptsAtOnce = Math.max(SilentEngineWorld.this.mostAttemptsAtOnce,
					stream.runs.size());
			this.monitor.targets().recordRequestSent(engine.name, nanos());
			engine.offer(run);
		}

		private void countRetry(Engine engine) {
			SilentEngineWorld.this.retries++;
			SilentEngineWorld.this.retriesAtSilentEngines += engine.silent ? 1 : 0;
			Instant stormEnd = SilentEngineWorld.this.silentFrom.plus(STORM_TIME).plusMillis(450);
			SilentEngineWorld.this.retriesInStorm += SilentEngineWorld.this.now.isBefore(stormEnd) ? 1 : 0;
		}

		private void cancel(Stream stream, int attempt) {
			Run run = stream.runs.get(attempt);
			if (run != null) {
				run.engine.runs.remove(run);
				forget(run);
			}
		}

		private void forget(Run run) {
			if (run.stream.runs.remove(run.attempt) != null) {
				this.monitor.targets().recordRequestEnded(run.engine.name, run.events > 0, nanos());
			}
		}

		private void finish(long number) {
			Stream stream = this.streams.remove(number);
			if (stream != null) {
				List.copyOf(stream.runs.keySet()).forEach((attempt) -> cancel(stream, attempt));
				boolean counted = !SilentEngineWorld.this.now.isBefore(SilentEngineWorld.this.silentFrom);
				boolean isLate = stream.longestPause.compareTo(LATE_PAUSE) > 0;
				SilentEngineWorld.this.late += (counted && isLate) ? 1 : 0;
			}
		}

		private void handleEvent(Run run) {
			Stream stream = run.stream;
			if (stream.runs.size() > 1) {
				for (int other : List.copyOf(stream.runs.keySet())) {
					if (other != run.attempt) {
						cancel(stream, other);
					}
				}
				prevail(run);
			}
			if (run.events == 1) {
				this.monitor.targets().recordStreamStarted(run.engine.name, nanos());
				this.dispatcher.handleFirstEvent(stream.number, SilentEngineWorld.this.now);
			}
			this.monitor.targets().recordProgress(run.engine.name, nanos());
			stream.recordEvent();
		}

		private void prevail(Run run) {
			handle((effects) -> this.dispatcher.handleAttemptPrevailed(run.stream.number, run.attempt,
					SilentEngineWorld.this.now, effects));
		}

		private void handleEnd(Run run, AttemptEnd end) {
			forget(run);
			if (end instanceof AttemptEnd.Delivered) {
				finish(run.stream.number);
			}
			handle((effects) -> this.dispatcher.handleAttemptEnd(run.stream.number, run.attempt, end,
					SilentEngineWorld.this.now, effects));
		}

		private void handleEvent(EntryEvent event) {
			if (event instanceof EntryEvent.AllTargetsSilent) {
				handle((effects) -> this.dispatcher.paths()
					.handleAllTargetsSilent(SilentEngineWorld.this.now, effects));
			}
			else if (event instanceof EntryEvent.TargetsStalled stalled) {
				this.dispatcher.handleStalledTargets(stalled, SilentEngineWorld.this.now);
			}
			else if (event instanceof EntryEvent.TargetResumed resumed) {
				this.dispatcher.handleResumedTarget(resumed.target(), SilentEngineWorld.this.now);
			}
			else if (event instanceof EntryEvent.TargetStillSilent silent) {
				handle((effects) -> this.dispatcher.handleLastingSilence(silent.target(), SilentEngineWorld.this.now,
						effects));
			}
			else if (event instanceof EntryEvent.TargetSilent silent && (silent.answersStarted()
					|| !this.dispatcher.mayQueue(silent.target(), SilentEngineWorld.this.now))) {
				handle((effects) -> this.dispatcher.handleSilentTarget(silent.target(), "n" + this.index,
						SilentEngineWorld.this.now, effects));
				reportSilence(this.index, silent.target());
			}
		}

	}

}
