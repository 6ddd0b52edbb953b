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
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.RetryCount;
import sycamorehill.support.ServingSamples;

/**
 * Runs nodes in virtual time that send requests to targets which may refuse them, while
 * processes are killed, stopped, paused, added and cut off. Messages between nodes are
 * delayed and may be lost; the list of nodes in the store may be read from an old copy.
 */
final class RetryBudgetWorld {

	private static final int TARGETS = 40;

	private static final Duration TICK = Duration.ofMillis(100);

	private static final Duration LIST_INTERVAL = Duration.ofSeconds(20);

	private static final Duration REGISTRATION_RETRY = Duration.ofSeconds(1);

	private static final int MAXIMUM_COPY_AGE_MILLIS = 3000;

	/** From the signal to stop until the process is killed. */
	private static final Duration STOP_TIME = Duration.ofSeconds(8);

	private final Site site;

	private final Random random;

	private final PriorityQueue<Scheduled> agenda = new PriorityQueue<>();

	private final Map<String, NodeProcess> processes = new LinkedHashMap<>();

	private final Map<Address, String> names = new HashMap<>();

	private final Registry registry = new Registry();

	private final RetryCount count = new RetryCount();

	private final Set<String> cutFromStore = new HashSet<>();

	private final Set<Link> cutLinks = new HashSet<>();

	/** Targets to which bytes are held up, and until when. */
	private final Map<TargetName, Instant> heldTargets = new HashMap<>();

	private Instant now = Instant.ofEpochSecond(1000);

	private boolean storeAnswers = true;

	private double lossShare = 0.01;

	private double refusedShare;

	private double unconnectedShare;

	private long scheduled;

	private long lastRequest;

	private int nodesCreated;

	RetryBudgetWorld(Site site, long seed) {
		this.site = site;
		this.random = new Random(seed);
		IntStream.range(0, site.nodes()).forEach((node) -> addNode());
	}

	Instant now() {
		return this.now;
	}

	List<String> nodes() {
		return List.copyOf(this.processes.keySet());
	}

	/**
	 * Draws some of the nodes.
	 * @param share their share of all nodes
	 * @return their names
	 */
	List<String> draw(double share) {
		return nodes().stream().filter((node) -> this.random.nextDouble() < share).toList();
	}

	EntryReducer reducer(String node) {
		return this.processes.get(node).reducer;
	}

	void setRefusedShare(double share) {
		this.refusedShare = share;
	}

	void setUnconnectedShare(double share) {
		this.unconnectedShare = share;
	}

	void setLossShare(double share) {
		this.lossShare = share;
	}

	void setStoreAnswers(boolean answers) {
		this.storeAnswers = answers;
	}

	void after(Duration delay, Runnable task) {
		this.agenda.add(new Scheduled(this.now.plus(delay), this.scheduled++, task));
	}

	/** Adds a node with a new name. */
	void addNode() {
		int number = this.nodesCreated++;
		EntrySettings settings = this.site.settings(number);
		this.names.put(settings.peerAddress(), settings.nodeName());
		NodeProcess process = new NodeProcess(settings);
		this.processes.put(settings.nodeName(), process);
		after(Duration.ofMillis(this.random.nextInt(300)), process::start);
	}

	/**
	 * Kills the process of a node.
	 * @param node the node; nothing happens if it was removed
	 * @param down time until its next process starts
	 */
	void kill(String node, Duration down) {
		withProcess(node, (process) -> {
			process.end();
			after(down, process::start);
		});
	}

	void removeForGood(String node) {
		withProcess(node, NodeProcess::end);
		this.processes.remove(node);
	}

	void stop(String node) {
		withProcess(node, NodeProcess::stop);
	}

	void pause(String node, Duration time) {
		withProcess(node, (process) -> {
			process.paused = true;
			after(time, process::resume);
		});
	}

	private void withProcess(String node, Consumer<NodeProcess> action) {
		Optional.ofNullable(this.processes.get(node)).ifPresent(action);
	}

	/**
	 * Cuts nodes off from all others.
	 * @param group the nodes; they still reach each other
	 * @param oneWay whether messages of the others still arrive at them
	 * @param time how long
	 */
	void cut(List<String> group, boolean oneWay, Duration time) {
		List<Link> links = new ArrayList<>();
		for (String inside : group) {
			nodes().stream().filter((node) -> !group.contains(node)).forEach((outside) -> {
				links.add(new Link(inside, outside));
				if (!oneWay) {
					links.add(new Link(outside, inside));
				}
			});
		}
		this.cutLinks.addAll(links);
		after(time, () -> links.forEach(this.cutLinks::remove));
	}

	void cutFromStore(List<String> group, Duration time) {
		this.cutFromStore.addAll(group);
		after(time, () -> group.forEach(this.cutFromStore::remove));
	}

	/**
	 * Holds up all bytes to some targets. Those of cancelled attempts never arrive.
	 * @param share their share of all targets
	 * @param time how long
	 */
	void holdTargets(double share, Duration time) {
		IntStream.range(0, TARGETS)
			.filter((target) -> this.random.nextDouble() < share)
			.forEach((target) -> this.heldTargets.put(TargetName.of("p" + target), this.now.plus(time)));
	}

	private Duration transit(TargetName target) {
		Instant until = this.heldTargets.getOrDefault(target, this.now);
		Duration held = until.isAfter(this.now) ? Duration.between(this.now, until) : Duration.ZERO;
		return held.plusMillis(1 + this.random.nextInt(8));
	}

	void startTraffic() {
		after(Duration.ofNanos((long) (-Math.log(1 - this.random.nextDouble()) * 1e9 / this.site.requestsPerSecond())),
				() -> {
					sendRequest();
					startTraffic();
				});
	}

	// Callers come to the nodes unevenly, as they are spread by a hash.
	private void sendRequest() {
		List<NodeProcess> running = this.processes.values().stream().filter((process) -> process.running).toList();
		if (running.isEmpty()) {
			return;
		}
		int index = Math.min(this.random.nextInt(running.size()), this.random.nextInt(running.size() + 2));
		this.count.recordRequest(this.now);
		long request = ++this.lastRequest;
		running.get(index).accept(new EntryEvent.RequestArrived(ServingSamples.request(request, "/again/" + request)));
	}

	void run(Duration time) {
		Instant end = this.now.plus(time);
		while (!this.agenda.isEmpty() && !this.agenda.peek().at().isAfter(end)) {
			Scheduled next = this.agenda.poll();
			this.now = next.at();
			next.task().run();
		}
		this.now = end;
	}

	RetryCount.Result evaluate() {
		return this.count.evaluate(new RetryCount.Bound(this.site.window(), this.site.ratio(), this.site.allowance()));
	}

	/**
	 * A deployment.
	 *
	 * @param nodes number of nodes
	 * @param dataCentres number of data centres
	 * @param allowance retries allowed in a window beyond the ratio
	 * @param requestsPerSecond requests of all callers
	 */
	record Site(int nodes, int dataCentres, double allowance, double requestsPerSecond) {

		private EntrySettings settings(int number) {
			List<DataCentreName> all = IntStream.range(0, this.dataCentres)
				.mapToObj((dataCentre) -> DataCentreName.of("dc" + dataCentre))
				.toList();
			EntrySettings sample = ServingSamples.settings(number, "dc" + number % this.dataCentres);
			return new EntrySettings(sample.nodeName(), sample.dataCentre(), all, sample.processorCores(),
					sample.maximumDescriptors(), sample.callerAddress(), sample.readinessAddress(),
					sample.peerAddress(), sample.proxyAddress(), sample.storeAddress(), sample.firstStart(),
					sample.stopTime(), window(), ratio(), this.allowance, sample.stallTime(), sample.loadWindow());
		}

		Duration window() {
			return Duration.ofSeconds(10);
		}

		double ratio() {
			return 0.2;
		}

	}

	/**
	 * A direction between two nodes.
	 *
	 * @param from the sender
	 * @param to the receiver
	 */
	private record Link(String from, String to) {
	}

	/**
	 * An attempt of a request.
	 *
	 * @param request the request
	 * @param attempt number of the attempt
	 */
	private record AttemptNumber(long request, int attempt) {
	}

	/**
	 * A task on the agenda.
	 *
	 * @param at when it is due
	 * @param number its number; earlier ones go first
	 * @param task the task
	 */
	private record Scheduled(Instant at, long number, Runnable task) implements Comparable<Scheduled> {

		@Override
		public int compareTo(Scheduled other) {
			int order = this.at.compareTo(other.at);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

	/**
	 * The list of nodes in the store, with its former states.
	 */
	private final class Registry {

		private final Map<String, NodeRecord> entries = new TreeMap<>();

		private final List<Listing> listings = new ArrayList<>(List.of(new Listing(Instant.MIN, 1, List.of())));

		private boolean answers(String node) {
			return RetryBudgetWorld.this.storeAnswers && !RetryBudgetWorld.this.cutFromStore.contains(node);
		}

		void put(NodeRecord node) {
			this.entries.put(node.name(), node);
			changed();
		}

		void remove(String node) {
			this.entries.remove(node);
			changed();
		}

		private void changed() {
			this.listings.add(new Listing(RetryBudgetWorld.this.now, current().revision() + 1,
					List.copyOf(this.entries.values())));
		}

		Listing current() {
			return this.listings.get(this.listings.size() - 1);
		}

		Listing copy() {
			Instant at = RetryBudgetWorld.this.now
				.minusMillis(RetryBudgetWorld.this.random.nextInt(MAXIMUM_COPY_AGE_MILLIS));
			return this.listings.stream().filter((listing) -> !listing.at().isAfter(at)).reduce((a, b) -> b).get();
		}

	}

	/**
	 * A state of the list of nodes.
	 *
	 * @param at since when it holds
	 * @param revision the store's revision
	 * @param nodes the nodes
	 */
	private record Listing(Instant at, long revision, List<NodeRecord> nodes) {
	}

	/**
	 * A VM with its current process.
	 */
	private final class NodeProcess {

		private final EntrySettings settings;

		private final List<EntryEvent> backlog = new ArrayList<>();

		private EntryReducer reducer;

		/** Attempts that were cancelled before they arrived. */
		private final Set<AttemptNumber> cancelled = new HashSet<>();

		private int incarnation;

		private boolean running;

		private boolean paused;

		NodeProcess(EntrySettings settings) {
			this.settings = settings;
		}

		void start() {
			if (this.running || RetryBudgetWorld.this.processes.get(name()) != this) {
				return;
			}
			this.incarnation++;
			this.running = true;
			this.paused = false;
			this.backlog.clear();
			this.reducer = EntryReducer.of(this.settings, name() + '#' + this.incarnation,
					new Random(RetryBudgetWorld.this.random.nextLong()), RetryBudgetWorld.this.now);
			accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1));
			accept(new EntryEvent.TargetsListed(targets(), 1));
			schedule(Duration.ofMillis(RetryBudgetWorld.this.random.nextInt(100)), this::tick);
			schedule(callTime(), this::register);
		}

		private static List<TargetEntry> targets() {
			return IntStream.range(0, TARGETS).mapToObj((target) -> ServingSamples.plain("p" + target)).toList();
		}

		private Duration callTime() {
			return Duration.ofMillis(4 + RetryBudgetWorld.this.random.nextInt(20));
		}

		// Drops the task if the process has ended meanwhile.
		private void schedule(Duration delay, Runnable task) {
			int current = this.incarnation;
			after(delay, () -> {
				if (this.running && this.incarnation == current) {
					task.run();
				}
			});
		}

		private String name() {
			return this.settings.nodeName();
		}

		private void register() {
			if (!RetryBudgetWorld.this.registry.answers(name())) {
				schedule(REGISTRATION_RETRY, this::register);
				return;
			}
			RetryBudgetWorld.this.registry.put(this.settings.toNodeRecord());
			schedule(callTime(), () -> list(true));
		}

		private void list(boolean consistent) {
			if (!RetryBudgetWorld.this.registry.answers(name())) {
				schedule(REGISTRATION_RETRY, () -> list(consistent));
				return;
			}
			Listing listing = consistent ? RetryBudgetWorld.this.registry.current()
					: RetryBudgetWorld.this.registry.copy();
			schedule(callTime(), () -> accept(new EntryEvent.NodesListed(listing.nodes())));
			schedule(LIST_INTERVAL, () -> list(false));
		}

		private void tick() {
			accept(new EntryEvent.Ticked());
			schedule(TICK, this::tick);
		}

		void accept(EntryEvent event) {
			if (!this.running) {
				return;
			}
			if (this.paused) {
				this.backlog.add(event);
				return;
			}
			this.reducer.accept(event, RetryBudgetWorld.this.now).forEach(this::execute);
		}

		void resume() {
			this.paused = false;
			List<EntryEvent> waiting = List.copyOf(this.backlog);
			this.backlog.clear();
			waiting.forEach(this::accept);
		}

		void stop() {
			if (!this.running) {
				return;
			}
			accept(new EntryEvent.StopRequested());
			schedule(callTime(), () -> {
				if (RetryBudgetWorld.this.registry.answers(name())) {
					RetryBudgetWorld.this.registry.remove(name());
				}
			});
			schedule(STOP_TIME, () -> {
				end();
				after(Duration.ofMillis(500), this::start);
			});
		}

		void end() {
			this.running = false;
			this.incarnation++;
		}

		private void execute(EntryEffect effect) {
			if (effect instanceof EntryEffect.Send send) {
				send.nodes().forEach((to) -> deliver(RetryBudgetWorld.this.names.get(to), send.message()));
			}
			else if (effect instanceof EntryEffect.StartAttempt start) {
				startAttempt(start);
			}
			else if (effect instanceof EntryEffect.CancelAttempt cancel) {
				this.cancelled.add(new AttemptNumber(cancel.number(), cancel.attempt()));
			}
			else if (effect instanceof EntryEffect.LimitRequestTime limit) {
				schedule(limit.timeout(), () -> accept(new EntryEvent.TimedOut(limit.number())));
			}
		}

		private void deliver(String to, NodeMessage message) {
			Random random = RetryBudgetWorld.this.random;
			boolean lost = random.nextDouble() < RetryBudgetWorld.this.lossShare
					|| RetryBudgetWorld.this.cutLinks.contains(new Link(name(), to));
			if (!lost) {
				after(Duration.ofMillis(1 + random.nextInt(15)), () -> {
					NodeProcess receiver = RetryBudgetWorld.this.processes.get(to);
					if (receiver != null) {
						receiver.accept(new EntryEvent.MessageReceived(message));
					}
				});
			}
		}

		// The request arrives even if the process ends meanwhile.
		private void startAttempt(EntryEffect.StartAttempt start) {
			Random random = RetryBudgetWorld.this.random;
			if (random.nextDouble() < RetryBudgetWorld.this.unconnectedShare) {
				schedule(Duration.ofMillis(1 + random.nextInt(100)),
						() -> endAttempt(start, new AttemptEnd.NotRun(NotRunCause.NOT_CONNECTED)));
				return;
			}
			Duration transit = transit(start.target().name());
			after(transit, () -> recordArrival(start));
			if (random.nextDouble() < RetryBudgetWorld.this.refusedShare) {
				schedule(transit.plusMillis(1 + random.nextInt(8)),
						() -> endAttempt(start, new AttemptEnd.NotRun(NotRunCause.REFUSED)));
			}
			else {
				schedule(transit.plusMillis(30 + random.nextInt(400)),
						() -> endAttempt(start, new AttemptEnd.Delivered(200, Duration.ZERO)));
			}
		}

		private void recordArrival(EntryEffect.StartAttempt start) {
			if (!this.cancelled.remove(new AttemptNumber(start.number(), start.attempt()))) {
				RetryBudgetWorld.this.count.recordArrival(start.number(), RetryBudgetWorld.this.now);
			}
		}

		private void endAttempt(EntryEffect.StartAttempt start, AttemptEnd end) {
			accept(new EntryEvent.AttemptEnded(start.number(), start.attempt(), end));
		}

	}

}
