package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.EventSchedule;
import sycamorehill.support.ServingSamples;

/**
 * Runs nodes in virtual time that send streams to groups of engines. Some parts of
 * prompts crash each engine that begins to answer them, while others crash by themselves,
 * domains fail, and nodes are killed and cut off from each other.
 */
final class CrashingPartsWorld {

	/** Within this time after a disruption a node need not know what the others do. */
	static final Duration CONTACT_TIME = Duration.ofSeconds(3);

	private static final Duration TICK = Duration.ofMillis(100);

	private static final int DOMAINS = 6;

	private static final int DOCUMENTS = 47;

	private static final int WORKSPACES = 10;

	private static final double LOST_MESSAGES = 0.01;

	private final Site site;

	private final Random random;

	private final EventSchedule<Runnable> schedule = EventSchedule.create();

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	private final Map<TargetName, Engine> engines = new LinkedHashMap<>();

	private final Map<Long, CallerRequest> requests = new HashMap<>();

	private final Set<String> crashingParts = new HashSet<>();

	private final Map<String, List<Instant>> crashes = new HashMap<>();

	private final Map<String, List<Instant>> arrivals = new HashMap<>();

	private final Report report = new Report();

	private Set<String> cutOff = Set.of();

	private long lastRequest;

	private int lastLife;

	private long revision = 10;

	CrashingPartsWorld(Site site, long seed) {
		this.site = site;
		this.random = new Random(seed);
		IntStream.range(0, site.groups()).forEach((place) -> startGroup(place));
		IntStream.range(0, site.nodes()).mapToObj(Node::new).forEach((node) -> this.nodes.put(node.name(), node));
		this.nodes.values().forEach(Node::start);
	}

	private Instant now() {
		return this.schedule.now().plusSeconds(1000);
	}

	private void after(double millis, Runnable task) {
		this.schedule.add(Duration.ofNanos((long) (millis * 1e6)), task);
	}

	private double between(double from, double to) {
		return from + this.random.nextDouble() * (to - from);
	}

	private double untilNext(double perSecond) {
		return -Math.log(1 - this.random.nextDouble()) * 1000 / perSecond;
	}

	void run(Duration time) {
		Instant end = now().plus(time);
		while (now().isBefore(end)) {
			this.schedule.next().orElseThrow().run();
		}
	}

	Report report() {
		return this.report;
	}

	void startTraffic() {
		after(untilNext(this.site.requestsPerSecond()), () -> {
			send(soundParts(), false);
			startTraffic();
		});
	}

	private List<String> soundParts() {
		List<String> parts = new ArrayList<>(List.of("system" + skewed(3), "yard" + skewed(WORKSPACES)));
		if (this.random.nextBoolean()) {
			parts.add("doc" + skewed(DOCUMENTS));
		}
		return parts;
	}

	private int skewed(int count) {
		return (int) (count * Math.pow(this.random.nextDouble(), 2.5));
	}

	/**
	 * Sends requests with a part that crashes engines until the end.
	 * @param part the part
	 * @param place its place among the parts of a prompt
	 * @param perSecond how many requests
	 */
	void startCrashingRequests(String part, int place, double perSecond) {
		this.crashingParts.add(part);
		after(untilNext(perSecond), () -> {
			List<String> parts = soundParts();
			parts.add(Math.min(place, parts.size()), part);
			send(parts, true);
			startCrashingRequests(part, place, perSecond);
		});
	}

	/** Makes a part crash engines that comes in sound requests too. */
	void corrupt(String part) {
		this.crashingParts.add(part);
	}

	private void send(List<String> parts, boolean crashing) {
		List<Node> running = this.nodes.values().stream().filter((node) -> node.reducer != null).toList();
		Node node = running.get(this.random.nextInt(running.size()));
		long number = ++this.lastRequest;
		CallerRequest sample = ServingSamples.request(number, "/stream/" + number);
		CallerRequest request = new CallerRequest(number, sample.identifier(), sample.host(), sample.path(),
				sample.apiKey(), sample.model(), sample.tokenCounts(), parts, sample.timeLeft(), sample.contentHash());
		this.requests.put(number, request);
		this.report.sent += crashing ? 0 : 1;
		node.accept(new EntryEvent.RequestArrived(request));
	}

	private Optional<String> crashingPart(long number) {
		return this.requests.get(number).sharedPromptParts().stream().filter(this.crashingParts::contains).findFirst();
	}

	/** Crashes engines that run sound requests. */
	void startSoundCrashes(double perSecond) {
		after(untilNext(perSecond), () -> {
			List<Engine> alive = List.copyOf(this.engines.values());
			if (!alive.isEmpty()) {
				alive.get(this.random.nextInt(alive.size())).crash();
			}
			startSoundCrashes(perSecond);
		});
	}

	/** Ends all engines of a domain at once. */
	void failDomain(double afterMillis) {
		after(afterMillis, () -> {
			int domain = this.random.nextInt(DOMAINS);
			List.copyOf(this.engines.values())
				.stream()
				.filter((engine) -> engine.place % DOMAINS == domain)
				.forEach(Engine::crash);
		});
	}

	void startKills(double perSecond) {
		after(untilNext(perSecond), () -> {
			List<Node> all = List.copyOf(this.nodes.values());
			all.get(this.random.nextInt(all.size())).kill(between(300, 1500));
			startKills(perSecond);
		});
	}

	/** Cuts half of the nodes off from the others. */
	void cut(double afterMillis, double forMillis) {
		after(afterMillis, () -> {
			this.cutOff = new HashSet<>(
					this.nodes.keySet().stream().filter((name) -> this.random.nextBoolean()).toList());
			this.nodes.values().forEach((node) -> node.disruptedUntil = now().plusNanos((long) (forMillis * 1e6)));
			after(forMillis, () -> this.cutOff = Set.of());
		});
	}

	private void startGroup(int place) {
		Engine engine = new Engine(place, ++this.lastLife);
		this.engines.put(engine.head.name(), engine);
		publish(List.of(new TargetChange(engine.head.name(), Optional.of(engine.head)),
				new TargetChange(engine.member.name(), Optional.of(engine.member))));
	}

	private void publish(List<TargetChange> changes) {
		long since = this.revision++;
		long current = this.revision;
		this.nodes.values().forEach((node) -> after(between(20, 180), () -> {
			node.accept(new EntryEvent.TargetsChanged(changes, since, current));
			this.report.targetChanges++;
		}));
	}

	private void recordArrival(String part, Node node) {
		List<Instant> ended = this.crashes.getOrDefault(part, List.of());
		if (ended.size() >= 5 && now().isAfter(ended.get(4).plus(CONTACT_TIME)) && node.isInTouch()) {
			this.report.lateArrivalsByPart.merge(part, 1, Integer::sum);
		}
	}

	private void recordCrash(String part) {
		this.crashes.computeIfAbsent(part, (key) -> new ArrayList<>()).add(now());
		this.report.crashesByPart.merge(part, 1, Integer::sum);
	}

	/**
	 * A deployment.
	 *
	 * @param nodes number of nodes
	 * @param groups number of groups of engines
	 * @param requestsPerSecond sound requests of all callers
	 */
	record Site(int nodes, int groups, double requestsPerSecond) {
	}

	/**
	 * What was seen.
	 */
	static final class Report {

		private long sent;

		private long targetChanges;

		private long messages;

		private long refusedSound;

		private long servedSound;

		private final Map<String, Integer> crashesByPart = new HashMap<>();

		private final Map<String, Integer> lateArrivalsByPart = new HashMap<>();

		private final Set<String> causes = new HashSet<>();

		long refusedSound() {
			return this.refusedSound;
		}

		long servedSound() {
			return this.servedSound;
		}

		long sent() {
			return this.sent;
		}

		long messages() {
			return this.messages;
		}

		Map<String, Integer> crashesByPart() {
			return this.crashesByPart;
		}

		/** Arrivals at engines later than the time of contact after the fifth crash. */
		Map<String, Integer> lateArrivalsByPart() {
			return this.lateArrivalsByPart;
		}

		Set<String> causes() {
			return this.causes;
		}

	}

	/**
	 * A request that runs on an engine.
	 */
	private record Run(Node node, long number, int attempt) {
	}

	/**
	 * The head of a group, with its member.
	 */
	private final class Engine {

		private final int place;

		private final TargetEntry head;

		private final TargetEntry member;

		private final Map<Run, Boolean> runs = new LinkedHashMap<>();

		private boolean ended;

		private Engine(int place, int life) {
			this.place = place;
			this.head = entry("h" + place + "-" + life, place, life, 0);
			this.member = entry("m" + place + "-" + life, place, life, 1);
		}

		private TargetEntry entry(String name, int number, int life, int rank) {
			return new TargetEntry(TargetName.of(name), ServingSamples.ENGINES,
					Address.of("10.0." + rank + "." + (number % 250), 9000 + number / 250), DataCentreName.of("north"),
					12, false, 1000 + life, Optional.of("d" + number % DOMAINS), Set.of("small"), Optional.of("small"),
					Optional.of(new Membership("small." + life, life, rank,
							(rank == 0) ? MemberState.OPEN : MemberState.READY)));
		}

		private void begin(Run run) {
			this.runs.put(run, false);
			crashingPart(run.number()).ifPresent((part) -> CrashingPartsWorld.this.recordArrival(part, run.node()));
			double queued = Math.max(0, this.runs.size() - 12) * 100;
			after(queued + between(120, 330), () -> answer(run));
		}

		private void answer(Run run) {
			if (this.ended || !this.runs.containsKey(run)) {
				return;
			}
			Optional<String> part = crashingPart(run.number());
			if (part.isPresent()) {
				CrashingPartsWorld.this.recordCrash(part.get());
				crash();
				return;
			}
			this.runs.put(run, true);
			run.node().accept(new EntryEvent.AnswerStarted(run.number()));
			after(between(200, 2200), () -> {
				if (!this.ended && this.runs.remove(run) != null) {
					CrashingPartsWorld.this.report.servedSound++;
					run.node()
						.accept(new EntryEvent.AttemptEnded(run.number(), run.attempt(),
								new AttemptEnd.Delivered(200, Duration.ZERO)));
				}
			});
		}

		private void crash() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			CrashingPartsWorld.this.engines.remove(this.head.name());
			this.runs.forEach((run, begun) -> after(between(1, 12),
					() -> run.node()
						.accept(new EntryEvent.AttemptEnded(run.number(), run.attempt(),
								begun ? new AttemptEnd.Broken("connection closed", true, true)
										: new AttemptEnd.Unknown("connection closed", true)))));
			after(between(2800, 3600), () -> publish(List.of(new TargetChange(this.head.name(), Optional.empty()),
					new TargetChange(this.member.name(), Optional.empty()))));
			after(between(4000, 6000), () -> startGroup(this.place));
		}

	}

	/**
	 * A node, over several processes.
	 */
	private final class Node {

		private final EntrySettings settings;

		private EntryReducer reducer;

		private Instant disruptedUntil = Instant.MIN;

		private int incarnation;

		private Node(int number) {
			this.settings = ServingSamples.settings(number, "north");
		}

		private String name() {
			return this.settings.nodeName();
		}

		private boolean isInTouch() {
			return now().isAfter(this.disruptedUntil.plus(CONTACT_TIME));
		}

		private void start() {
			this.incarnation++;
			this.reducer = EntryReducer.of(this.settings, name() + "#" + this.incarnation,
					new Random(CrashingPartsWorld.this.random.nextLong()), now());
			accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1));
			accept(new EntryEvent.TargetsListed(CrashingPartsWorld.this.engines.values()
				.stream()
				.flatMap((engine) -> Stream.of(engine.head, engine.member))
				.toList(), CrashingPartsWorld.this.revision));
			List<NodeRecord> records = CrashingPartsWorld.this.nodes.values()
				.stream()
				.map((node) -> node.settings.toNodeRecord())
				.toList();
			accept(new EntryEvent.NodesListed(records));
			tick(this.incarnation);
		}

		private void tick(int expected) {
			if (this.reducer != null && this.incarnation == expected) {
				accept(new EntryEvent.Ticked());
				after(TICK.toMillis(), () -> tick(expected));
			}
		}

		private void kill(double downMillis) {
			this.reducer = null;
			this.disruptedUntil = now().plusNanos((long) (downMillis * 1e6));
			CrashingPartsWorld.this.engines.values()
				.forEach((engine) -> engine.runs.keySet().removeIf((run) -> run.node() == this));
			after(downMillis, () -> {
				if (this.reducer == null) {
					start();
				}
			});
		}

		private void accept(EntryEvent event) {
			if (this.reducer != null) {
				this.reducer.accept(event, now()).forEach(this::carryOut);
			}
		}

		private void carryOut(EntryEffect effect) {
			if (effect instanceof EntryEffect.StartAttempt start) {
				after(between(1, 6), () -> arrive(start));
			}
			else if (effect instanceof EntryEffect.CancelAttempt cancel) {
				CrashingPartsWorld.this.engines.values()
					.forEach((engine) -> engine.runs.keySet()
						.removeIf((run) -> run.node() == this && run.number() == cancel.number()));
			}
			else if (effect instanceof EntryEffect.ProbeTargets probe) {
				probe.targets()
					.forEach((target) -> after(2,
							() -> accept(CrashingPartsWorld.this.engines.containsKey(target.name())
									? new EntryEvent.TargetConnected(target.name())
									: new EntryEvent.TargetUnreached(target.name()))));
			}
			else if (effect instanceof EntryEffect.Send send) {
				deliver(send);
			}
			else if (effect instanceof EntryEffect.Answer answer) {
				boolean refused = answer.detail().contains("was lost with") && crashingPart(answer.number()).isEmpty();
				CrashingPartsWorld.this.report.refusedSound += refused ? 1 : 0;
			}
			else if (effect instanceof EntryEffect.Log log && log.line().detail().startsWith("traits=")
					&& log.line().event().name().equals("CRASH_CAUSE_FOUND")) {
				CrashingPartsWorld.this.report.causes.add(log.line().detail().split(" ")[0]);
			}
		}

		private void arrive(EntryEffect.StartAttempt start) {
			Engine engine = CrashingPartsWorld.this.engines.get(start.target().name());
			if (this.reducer == null) {
				return;
			}
			if (engine == null) {
				accept(new EntryEvent.AttemptEnded(start.number(), start.attempt(),
						new AttemptEnd.NotRun(NotRunCause.NOT_CONNECTED)));
			}
			else {
				accept(new EntryEvent.TargetConnected(start.target().name()));
				engine.begin(new Run(this, start.number(), start.attempt()));
			}
		}

		private void deliver(EntryEffect.Send send) {
			for (Node other : CrashingPartsWorld.this.nodes.values()) {
				boolean cut = CrashingPartsWorld.this.cutOff.contains(name()) != CrashingPartsWorld.this.cutOff
					.contains(other.name());
				if (!cut && send.nodes().contains(other.settings.peerAddress())
						&& CrashingPartsWorld.this.random.nextDouble() >= LOST_MESSAGES) {
					CrashingPartsWorld.this.report.messages++;
					after(between(1, 8), () -> other.accept(new EntryEvent.MessageReceived(send.message())));
				}
			}
		}

	}

}
