package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.ColdTargetTolerance;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.WarmUp;
import sycamorehill.model.serving.WeightedService;
import sycamorehill.support.ServingSamples;

/**
 * Simulates nodes that place requests on model engines, one of which starts anew and is
 * cold, in steps of one millisecond. A cold engine runs few requests at once, and more as
 * it warms up.
 */
final class SlowStartSimulation {

	private static final int SLOTS = 12;

	private static final Duration LATENCY_TARGET = Duration.ofMillis(300);

	private static final long FIRST_EVENT_MILLIS = 170;

	private static final double MEAN_ANSWER_MILLIS = 900;

	private static final long RESTART_MILLIS = 4000;

	private static final long END_MILLIS = 16_000;

	private static final Instant BEGIN = Instant.ofEpochSecond(1000);

	private static final ModelParameters MODEL = new ModelParameters("solo", 1, 0.5, 1, Duration.ofSeconds(16),
			Duration.ofMillis(1600));

	private static final EngineParameters ENGINES = ServingSamples.withModels(ServingSamples.engineFigures(),
			List.of(MODEL));

	private static final WarmUp WARM_UP = new WarmUp(Duration.ofSeconds(3), 26);

	private static final ServiceParameters SERVICE = new ServiceParameters(ServingSamples.ENGINES, 268,
			Optional.of(ENGINES), Optional.of(WARM_UP));

	private static final ColdTargetTolerance TOLERANCE = new ColdTargetTolerance(1.5, 5);

	private final Scenario scenario;

	private final Random random;

	private final List<Engine> engines = new ArrayList<>();

	private final List<Node> nodes = new ArrayList<>();

	private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();

	private final List<Long> arrivals = new ArrayList<>();

	private long lastEvent;

	private long lastRequest;

	private int requestsAfterRestart;

	private int late;

	private int lateAtTarget;

	private int answersOfTarget;

	private int refused;

	private double runningOfOthers;

	private double runningOfTarget;

	private long carriesShareAt = -1;

	private SlowStartSimulation(Scenario scenario, long seed) {
		this.scenario = scenario;
		this.random = new Random(seed);
		IntStream.range(0, scenario.engines()).forEach((index) -> this.engines.add(new Engine(index)));
		IntStream.range(0, scenario.nodes()).forEach((index) -> this.nodes.add(new Node(index)));
	}

	static Result run(Scenario scenario, long seed) {
		SlowStartSimulation simulation = new SlowStartSimulation(scenario, seed);
		simulation.run();
		return simulation.result();
	}

	private void run() {
		this.nodes.forEach((node) -> node.begin());
		schedule(RESTART_MILLIS, () -> this.engines.get(0).restart());
		double perMillisecond = this.scenario.load() * this.engines.size() * SLOTS / MEAN_ANSWER_MILLIS;
		for (long now = 0; now < END_MILLIS; now++) {
			while (!this.events.isEmpty() && this.events.peek().at() <= now) {
				this.events.poll().action().run();
			}
			double due = perMillisecond;
			while (this.random.nextDouble() < due) {
				this.nodes.get(this.random.nextInt(this.nodes.size())).place(now);
				due -= 1;
			}
			broadcastLoads(now);
			observe(now);
		}
	}

	private void observe(long now) {
		this.runningOfTarget += (this.engines.get(0).load() - this.runningOfTarget) / 500;
		double others = this.engines.stream().skip(1).mapToInt(Engine::load).average().orElse(0);
		this.runningOfOthers += (others - this.runningOfOthers) / 500;
		if (now == RESTART_MILLIS) {
			this.runningOfTarget = 0;
		}
		if (now > RESTART_MILLIS && this.carriesShareAt < 0 && this.runningOfTarget >= 0.75 * this.runningOfOthers) {
			this.carriesShareAt = now;
		}
	}

	private void broadcastLoads(long now) {
		long interval = Math.max(200, this.nodes.size() * 1000L / 3 / 60);
		for (int index = 0; index < this.nodes.size(); index++) {
			if ((now + index * 37L) % interval != 0) {
				continue;
			}
			Node sender = this.nodes.get(index);
			NodeMessage.Loads loads = new NodeMessage.Loads(sender.name, sender.dataCentre, true,
					sender.statuses.inFlightByTarget());
			this.nodes.stream()
				.filter((node) -> node != sender)
				.forEach((node) -> node.statuses.handleReport(loads, at(now)));
		}
	}

	private Result result() {
		int most = 0;
		int first = 0;
		for (int last = 0; last < this.arrivals.size(); last++) {
			while (this.arrivals.get(last) >= this.arrivals.get(first) + 1000) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		long stillSlow = this.nodes.stream().filter((node) -> node.slowStarts.count() > 0).count();
		return new Result(most, (this.carriesShareAt < 0) ? Double.NaN : (this.carriesShareAt - RESTART_MILLIS) / 1e3,
				this.late, this.lateAtTarget, this.answersOfTarget, this.refused, this.requestsAfterRestart,
				(int) stillSlow);
	}

	private void schedule(long at, Runnable action) {
		this.events.add(new ScheduledEvent(at, this.lastEvent++, action));
	}

	private Engine engine(TargetEntry entry) {
		return this.engines.stream().filter((engine) -> engine.entry.name().equals(entry.name())).findFirst().get();
	}

	private static Instant at(long millis) {
		return BEGIN.plusMillis(millis);
	}

	/**
	 * How requests to a target are limited after its start.
	 */
	enum Method {

		/** Not at all. */
		NONE,

		/** By the bound on cold targets alone. */
		BOUND,

		/** By the bound, and a share of the slots that grows for 10 s. */
		RAMP,

		/** By the bound and slow start. */
		SLOW_START

	}

	/**
	 * What the entry of the restarted target says.
	 */
	enum Report {

		/** For how long it stays cold. */
		RIGHT,

		/** Nothing, while all nodes see its new process. */
		NONE,

		/** That it is warm, and its process seems to be the same. */
		WRONG

	}

	/**
	 * A deployment and what happens in it.
	 *
	 * @param nodes number of nodes
	 * @param engines number of engines
	 * @param load requests of the callers, as a share of what the engines can run
	 * @param method how requests are limited
	 * @param report what the restarted target reports
	 */
	record Scenario(int nodes, int engines, double load, Method method, Report report) {
	}

	/**
	 * What was measured after the restart.
	 *
	 * @param mostInOneSecond most requests that the target received in one second
	 * @param secondsToShare time until it carried three quarters of what the others do
	 * @param late requests that were answered late
	 * @param lateAtTarget those among them at the restarted target
	 * @param answersOfTarget answers of the restarted target
	 * @param refused refused requests
	 * @param requests all requests
	 * @param nodesInSlowStart nodes with a slow start at the end
	 */
	record Result(int mostInOneSecond, double secondsToShare, int late, int lateAtTarget, int answersOfTarget,
			int refused, int requests, int nodesInSlowStart) {
	}

	/**
	 * Something that happens at a later time.
	 *
	 * @param at when it happens
	 * @param number number of the event; earlier ones go first
	 * @param action what happens
	 */
	private record ScheduledEvent(long at, long number, Runnable action) implements Comparable<ScheduledEvent> {

		@Override
		public int compareTo(ScheduledEvent other) {
			int order = Long.compare(this.at, other.at);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

	/**
	 * A share of the slots that grows with the time, for comparison.
	 */
	private final class FixedRamp implements CandidateFilter {

		private static final double RAMP_MILLIS = 10_000;

		private final Node node;

		private long begunAt = -1;

		private FixedRamp(Node node) {
			this.node = node;
		}

		@Override
		public List<Candidate> filter(List<Candidate> candidates, DispatchedRequest request, Instant now) {
			return candidates.stream().filter((candidate) -> allowsRequest(candidate, now)).toList();
		}

		private boolean allowsRequest(Candidate candidate, Instant now) {
			long sinceBegin = Duration.between(at(this.begunAt), now).toMillis();
			if (this.begunAt < 0 || sinceBegin > RAMP_MILLIS
					|| !candidate.entry().name().equals(SlowStartSimulation.this.engines.get(0).entry.name())) {
				return true;
			}
			double level = Math.max(1, SLOTS * sinceBegin / RAMP_MILLIS);
			return this.node.statuses.requests(candidate.entry().name(), now) < level;
		}

	}

	/**
	 * A node that places requests by the real decision classes.
	 */
	private final class Node {

		private final String name;

		private final DataCentreName dataCentre;

		private final TargetStatusRegistry statuses = TargetStatusRegistry.create();

		private final Placement placement;

		private final SlowStarts slowStarts;

		private final ColdTargets coldTargets;

		private final FixedRamp ramp = new FixedRamp(this);

		private final NodeRecord node;

		private final List<CandidateFilter> filters = new ArrayList<>();

		private List<Candidate> candidates;

		Node(int index) {
			EntrySettings settings = ServingSamples.settings(index, "dc" + index % 3)
				.withColdTargetTolerance(TOLERANCE);
			this.name = settings.nodeName();
			this.dataCentre = settings.dataCentre();
			this.node = settings.toNodeRecord();
			this.placement = Placement.of(this.dataCentre, new Random(index));
			this.slowStarts = SlowStarts.of(this.node, this.statuses);
			this.coldTargets = ColdTargets.of(settings, this.slowStarts::handleWarm);
			this.slowStarts.setColdTargets(this.coldTargets::isCold);
			if (SlowStartSimulation.this.scenario.method() != Method.NONE) {
				this.placement.setColdTargets(this.coldTargets::isCold);
			}
		}

		void begin() {
			List<Node> all = SlowStartSimulation.this.nodes;
			Method method = SlowStartSimulation.this.scenario.method();
			this.placement.setNodeCount(all.size());
			this.slowStarts
				.updateNodes(all.stream().filter((other) -> other != this).map((other) -> other.node).toList());
			Set<String> names = all.stream().map((other) -> other.name).collect(Collectors.toSet());
			this.coldTargets.updateNodes(new CountedNodes(names, true));
			this.coldTargets.adopt(new Configuration(1, List.of(), Map.of(SERVICE.name(), SERVICE),
					CallerLimits.INITIAL, Map.of(), true));
			if (method != Method.NONE) {
				this.filters.add(this.coldTargets);
			}
			if (method == Method.RAMP) {
				this.filters.add(this.ramp);
			}
			if (method == Method.SLOW_START) {
				this.filters.add(this.slowStarts);
			}
			list();
			this.coldTargets
				.handleList(SlowStartSimulation.this.engines.stream().map((engine) -> engine.entry).toList(), at(0));
			schedule(SlowStartSimulation.this.random.nextInt(100), () -> tick(0));
		}

		void list() {
			this.candidates = SlowStartSimulation.this.engines.stream()
				.filter((engine) -> engine.listed)
				.map((engine) -> new Candidate(engine.entry, SLOTS, Optional.of(MODEL), Optional.of(ENGINES)))
				.toList();
		}

		private void tick(long now) {
			Effects effects = Effects.create();
			this.coldTargets.tick(at(now), effects);
			this.slowStarts.tick(at(now), effects);
			schedule(now + 100, () -> tick(now + 100));
		}

		void learnEnd(TargetEntry ended, long now) {
			list();
			this.slowStarts.forget(ended.name());
			this.statuses.forget(ended.name());
			this.coldTargets.handleTargetEnded(ended, at(now));
		}

		void learn(TargetEntry entry, long now) {
			list();
			this.coldTargets.handleEntry(entry, at(now));
			this.ramp.begunAt = (this.ramp.begunAt < 0) ? now : this.ramp.begunAt;
		}

		void place(long now) {
			long number = ++SlowStartSimulation.this.lastRequest;
			if (now >= RESTART_MILLIS) {
				SlowStartSimulation.this.requestsAfterRestart++;
			}
			DispatchedRequest request = DispatchedRequest.of(ServingSamples.request(number, "/stream/" + number),
					new Route("stream", "feed.example", "/stream/", RequestKind.RESUMABLE_STREAM, Duration.ofSeconds(6),
							LATENCY_TARGET, Optional.empty(), 1, List.of(new WeightedService(SERVICE.name(), 1)), 2,
							false),
					SERVICE, Optional.empty(), at(now));
			place(request, now);
		}

		private void place(DispatchedRequest request, long now) {
			List<Candidate> allowed = this.candidates;
			for (CandidateFilter filter : this.filters) {
				filter.observe(allowed, request, at(now));
				allowed = filter.filter(allowed, request, at(now));
			}
			Optional<Placement.Choice> choice = choose(request, this.placement.sample(allowed, limited(allowed)), now);
			if (choice.isEmpty()) {
				choice = choose(request, allowed, now);
			}
			if (choice.isEmpty()) {
				SlowStartSimulation.this.refused += (now >= RESTART_MILLIS) ? 1 : 0;
				return;
			}
			send(request, choice.get(), now);
		}

		private List<Candidate> limited(List<Candidate> allowed) {
			Method method = SlowStartSimulation.this.scenario.method();
			return allowed.stream()
				.filter((candidate) -> (method != Method.NONE && this.coldTargets.isCold(candidate.entry().name()))
						|| (method == Method.SLOW_START && this.slowStarts.isActive(candidate.entry().name())))
				.toList();
		}

		private Optional<Placement.Choice> choose(DispatchedRequest request, List<Candidate> from, long now) {
			return this.placement
				.choose(from, request.triedTargets(), this.statuses.byTarget(), request.request().tokenCounts(),
						at(now))
				.filter((choice) -> Admission.decide(new Admission.Estimate(choice.timeToFirstAnswer(), LATENCY_TARGET,
						Duration.ZERO, Duration.ofSeconds(6), Duration.ofSeconds(6),
						this.statuses.requests(choice.candidate().entry().name(), at(now)), SLOTS,
						false)) != Admission.Decision.REFUSED);
		}

		private void send(DispatchedRequest request, Placement.Choice choice, long now) {
			TargetEntry entry = choice.candidate().entry();
			request.startAttempt(entry, choice.timeToFirstAnswer(), at(now));
			this.statuses.getOrCreate(entry.name()).recordSent(SLOTS);
			this.filters.forEach((filter) -> filter.recordSent(entry.name(), at(now)));
			this.coldTargets.recordSent(entry.name(), request.transit(), at(now));
			if (this.placement.hasFewNodes()) {
				NodeMessage.RequestPlaced placed = new NodeMessage.RequestPlaced(this.name, entry.name(),
						Duration.ofMillis(15));
				SlowStartSimulation.this.nodes.stream()
					.filter((other) -> other != this)
					.forEach((other) -> schedule(now + 3, () -> other.statuses.handleReport(placed, at(now + 3))));
			}
			long arrival = now + 1 + SlowStartSimulation.this.random.nextInt(8);
			schedule(arrival,
					() -> SlowStartSimulation.this.engine(entry).receive(new Sent(this, request, entry, now), arrival));
		}

	}

	/**
	 * A request at an engine.
	 *
	 * @param node the node that sent it
	 * @param request the request
	 * @param entry the process to which it was sent
	 * @param sentAt when it was sent
	 */
	private record Sent(Node node, DispatchedRequest request, TargetEntry entry, long sentAt) {
	}

	/**
	 * An engine that serves a model by itself.
	 */
	private final class Engine {

		private final Deque<Sent> queue = new ArrayDeque<>();

		private TargetEntry entry;

		private boolean listed = true;

		private long startedAt = Long.MIN_VALUE / 2;

		private int running;

		Engine(int index) {
			this.entry = entry(index, 1);
		}

		private TargetEntry entry(int index, long startMillis) {
			return new TargetEntry(TargetName.of("g" + index), ServingSamples.ENGINES,
					Address.of("127.0.0.1", 10_000 + index), DataCentreName.of("dc" + index % 3), SLOTS, false,
					startMillis, Optional.of("d0"), Set.of(MODEL.name()), Optional.of(MODEL.name()),
					Optional.of(new Membership("solo." + index, startMillis, 0, MemberState.OPEN)));
		}

		int load() {
			return this.running + this.queue.size();
		}

		// The nodes learn of the end first; entries of the new process arrive late.
		void restart() {
			TargetEntry ended = this.entry;
			Report report = SlowStartSimulation.this.scenario.report();
			this.queue.clear();
			this.running = 0;
			this.startedAt = RESTART_MILLIS;
			this.entry = entry(0, (report == Report.WRONG) ? 1 : 2);
			for (Node node : SlowStartSimulation.this.nodes) {
				if (report == Report.WRONG) {
					node.statuses.forget(ended.name());
					node.statuses.getOrCreate(ended.name()).recordFailure(at(RESTART_MILLIS));
					node.ramp.begunAt = RESTART_MILLIS;
				}
				else {
					this.listed = false;
					node.learnEnd(ended, RESTART_MILLIS);
				}
			}
			this.listed = true;
			if (report != Report.WRONG) {
				publish(RESTART_MILLIS);
			}
		}

		private void publish(long now) {
			long left = RESTART_MILLIS + WARM_UP.time().toMillis() - now;
			boolean reports = SlowStartSimulation.this.scenario.report() == Report.RIGHT && left > 0;
			TargetEntry written = this.entry.withWarmUpLeft(Duration.ofMillis(reports ? left : 0));
			SlowStartSimulation.this.nodes.forEach((node) -> {
				long arrival = now + 50 + SlowStartSimulation.this.random.nextInt(250);
				schedule(arrival, () -> node.learn(written, arrival));
			});
			if (left > 0) {
				schedule(now + 1200, () -> publish(now + 1200));
			}
		}

		// A cold engine runs a quarter of its slots at first.
		private int usableSlots(long now) {
			double warm = (double) (now - this.startedAt) / WARM_UP.time().toMillis();
			return (warm >= 1) ? SLOTS : (int) (SLOTS * (0.25 + 0.75 * warm));
		}

		void receive(Sent sent, long now) {
			if (sent.entry().startMillis() != this.entry.startMillis()) {
				sent.request().transit().settle(at(now));
				sent.node().statuses.getOrCreate(sent.entry().name()).recordEnded();
				return;
			}
			if (this.startedAt > 0 && now < this.startedAt + WARM_UP.time().toMillis()) {
				SlowStartSimulation.this.arrivals.add(now);
			}
			this.queue.add(sent);
			serve(now);
		}

		void serve(long now) {
			while (this.running < usableSlots(now) && !this.queue.isEmpty()) {
				begin(this.queue.poll(), now);
			}
			if (!this.queue.isEmpty() && now < this.startedAt + WARM_UP.time().toMillis()) {
				schedule(now + 50, () -> serve(now + 50));
			}
		}

		private void begin(Sent sent, long now) {
			this.running++;
			long process = this.startedAt;
			long first = now + FIRST_EVENT_MILLIS;
			schedule(first, () -> answerBegins(sent, first));
			long end = first + (long) (-(MEAN_ANSWER_MILLIS - FIRST_EVENT_MILLIS)
					* Math.log(1 - SlowStartSimulation.this.random.nextDouble()));
			schedule(end, () -> {
				sent.node().statuses.getOrCreate(sent.entry().name()).recordEnded();
				if (process == this.startedAt) {
					this.running--;
					serve(end);
				}
			});
		}

		private void answerBegins(Sent sent, long now) {
			Node node = sent.node();
			TargetStatus status = node.statuses.getOrCreate(sent.entry().name());
			EngineLoad load = new EngineLoad(this.running, this.queue.size(), SLOTS);
			Duration time = Duration.ofMillis(now - sent.sentAt());
			sent.request().transit().settle(at(now));
			status.recordReport(load, at(now));
			status.recordFirstAnswer(time, at(now));
			node.slowStarts.recordReport(sent.entry().name(), load, at(now));
			node.slowStarts.recordFirstAnswer(sent.request(), sent.entry().name(), time, at(now));
			boolean ofTarget = this == SlowStartSimulation.this.engines.get(0);
			SlowStartSimulation.this.answersOfTarget += (ofTarget && now >= RESTART_MILLIS) ? 1 : 0;
			if (now >= RESTART_MILLIS && time.compareTo(LATENCY_TARGET) > 0) {
				SlowStartSimulation.this.late++;
				SlowStartSimulation.this.lateAtTarget += ofTarget ? 1 : 0;
			}
		}

	}

}
