package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.IntStream;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.EvacuationChange;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

/**
 * 85 nodes in three data centres before a store, in virtual time. Each node gets ten
 * requests a second, which are answered at once. The store's revision grows all the time,
 * because targets write their entries.
 */
final class EvacuationWorld {

	static final int NODES = 85;

	static final Duration EVACUATION_TIME = Duration.ofSeconds(5);

	/** Maximum time from the selection of a target until the request reaches it. */
	static final Duration MAXIMUM_CONNECT_TIME = Duration.ofMillis(300);

	private static final List<String> DATA_CENTRES = List.of("north", "east", "south");

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration TICK = Duration.ofMillis(100);

	/** Interval of the answers to calls for targets and configurations. */
	private static final Duration READ_INTERVAL = Duration.ofMillis(510);

	private static final Duration CALL_TIME = Duration.ofMillis(10);

	/** Time after which a call fails, beyond its wait in the store. */
	private static final Duration CALL_MARGIN = Duration.ofMillis(600);

	private static final Duration RETRY_DELAY = Duration.ofMillis(100);

	private static final Duration REVISION_INTERVAL = Duration.ofMillis(50);

	private static final int TARGETS = 9;

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	private final Map<Address, Node> byAddress = new HashMap<>();

	private final List<NodeRecord> records = new ArrayList<>();

	private final Random random = new Random(7);

	private final TreeSet<String> evacuations = new TreeSet<>();

	private final List<StoredChange> changes = new ArrayList<>();

	private final Map<TargetName, DataCentreName> dataCentreByTarget = new HashMap<>();

	private Instant now = Instant.ofEpochSecond(1000);

	private long revision = 100;

	private double lossShare;

	private int evacuationCalls;

	private long requests;

	EvacuationWorld() {
		IntStream.range(0, NODES).forEach((number) -> this.records.add(settings(number).toNodeRecord()));
		IntStream.range(0, NODES).forEach(this::start);
	}

	private static EntrySettings settings(int number) {
		String dataCentre = DATA_CENTRES.get(number % DATA_CENTRES.size());
		EntrySettings sample = ServingSamples.settings(number, dataCentre);
		return new EntrySettings(sample.nodeName(), sample.dataCentre(),
				DATA_CENTRES.stream().map(DataCentreName::of).toList(), sample.processorCores(),
				sample.maximumDescriptors(), sample.callerAddress(), sample.readinessAddress(), sample.peerAddress(),
				sample.proxyAddress(), sample.storeAddress(), true, sample.stopTime(), sample.retryWindow(),
				sample.retryRatio(), sample.retryAllowance(), sample.stallTime(), sample.loadWindow())
			.withEvacuationTime(EVACUATION_TIME);
	}

	private List<TargetEntry> targets() {
		List<TargetEntry> targets = new ArrayList<>();
		for (int number = 0; number < TARGETS; number++) {
			TargetEntry sample = ServingSamples.plain("p" + number);
			DataCentreName dataCentre = DataCentreName.of(DATA_CENTRES.get(number % DATA_CENTRES.size()));
			this.dataCentreByTarget.put(sample.name(), dataCentre);
			targets.add(new TargetEntry(sample.name(), sample.service(), sample.address(), dataCentre, 600, false, 1,
					Optional.empty(), sample.staged(), Optional.empty(), Optional.empty()));
		}
		return targets;
	}

	/**
	 * Starts a node, again if it has run before.
	 * @param number its number
	 * @return the node
	 */
	Node start(int number) {
		Node node = new Node(number);
		this.nodes.put(node.name, node);
		this.byAddress.put(node.settings.peerAddress(), node);
		return node;
	}

	Collection<Node> nodes() {
		return this.nodes.values();
	}

	/**
	 * Returns the node that reads the store for all others.
	 * @return the node
	 */
	Node reader() {
		List<Node> readers = this.nodes.values()
			.stream()
			.filter((node) -> node.running && !node.reducer.reliesOnReader(this.now))
			.toList();
		if (readers.size() != 1) {
			throw new AssertionError("readers: " + readers);
		}
		return readers.get(0);
	}

	/**
	 * Writes an evacuation. The store acknowledges it at once.
	 * @param dataCentre the name of the object
	 * @return the time of the acknowledgement
	 */
	Instant evacuate(String dataCentre) {
		this.evacuations.add(dataCentre);
		return store(dataCentre, true);
	}

	Instant endEvacuation(String dataCentre) {
		this.evacuations.remove(dataCentre);
		return store(dataCentre, false);
	}

	private Instant store(String dataCentre, boolean evacuated) {
		this.revision++;
		this.changes
			.add(new StoredChange(this.revision, new EvacuationChange(DataCentreName.of(dataCentre), evacuated)));
		return this.now;
	}

	void loseMessages(double share) {
		this.lossShare = share;
	}

	int evacuationCalls() {
		return this.evacuationCalls;
	}

	void run(Duration time) {
		for (Instant end = this.now.plus(time); this.now.isBefore(end); this.now = this.now.plus(STEP)) {
			if (this.now.toEpochMilli() % REVISION_INTERVAL.toMillis() == 0) {
				this.revision++;
			}
			List.copyOf(this.nodes.values()).forEach(Node::step);
		}
	}

	/**
	 * Change in the store.
	 *
	 * @param revision its revision
	 * @param change the change
	 */
	private record StoredChange(long revision, EvacuationChange change) {
	}

	/**
	 * One node with its calls for evacuations. Its other calls are simplified.
	 */
	final class Node {

		private final int number;

		private final String name;

		private final EntrySettings settings;

		private final EntryReducer reducer;

		private final Map<LogEvent, List<String>> logged = new HashMap<>();

		/** When it last selected a target, by the target's data centre. */
		private final Map<String, Instant> lastSent = new HashMap<>();

		private final List<NodeMessage> arriving = new ArrayList<>();

		private boolean running = true;

		private boolean frozen;

		private boolean ready;

		private boolean storeCut;

		private boolean evacuationsHang;

		private int evacuationCallsToLose;

		private Instant nextRead = Instant.MIN;

		private long evacuationRevision = -1;

		private Instant callBegunAt;

		private Instant callEndsAt;

		private long callSince;

		private boolean callLost;

		private Instant nextCall;

		private Node(int number) {
			this.number = number;
			this.settings = settings(number);
			this.name = this.settings.nodeName();
			this.reducer = EntryReducer.of(this.settings, this.name + "#" + EvacuationWorld.this.now.toEpochMilli(),
					new Random(number), EvacuationWorld.this.now);
			this.nextCall = EvacuationWorld.this.now;
			accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1));
			accept(new EntryEvent.TargetsListed(targets(), EvacuationWorld.this.revision));
			accept(new EntryEvent.NodesListed(EvacuationWorld.this.records));
		}

		void kill() {
			this.running = false;
		}

		void freeze(boolean isFrozen) {
			this.frozen = isFrozen;
		}

		void cutStore(boolean isCut) {
			this.storeCut = isCut;
		}

		/** Leaves all calls for evacuations unanswered from now on. */
		void hangEvacuations() {
			this.evacuationsHang = true;
		}

		void loseNextEvacuationCalls(int count) {
			this.evacuationCallsToLose = count;
		}

		boolean isRunning() {
			return this.running && !this.frozen;
		}

		boolean isReady() {
			return this.ready;
		}

		String dataCentre() {
			return this.settings.dataCentre().value();
		}

		long evacuated() {
			return this.reducer.evacuatedDataCentres();
		}

		List<String> logged(LogEvent event) {
			return this.logged.getOrDefault(event, List.of());
		}

		Instant lastSent(String dataCentre) {
			return this.lastSent.getOrDefault(dataCentre, Instant.MIN);
		}

		private void step() {
			if (!isRunning()) {
				return;
			}
			List<NodeMessage> messages = List.copyOf(this.arriving);
			this.arriving.clear();
			messages.forEach((message) -> accept(new EntryEvent.MessageReceived(message)));
			long phase = STEP.toMillis() * this.number;
			if ((EvacuationWorld.this.now.toEpochMilli() - phase) % TICK.toMillis() == 0) {
				accept(new EntryEvent.Ticked());
				EvacuationWorld.this.requests++;
				accept(new EntryEvent.RequestArrived(
						ServingSamples.request(EvacuationWorld.this.requests, "/again/x")));
			}
			readOthers();
			readEvacuations();
		}

		// Calls for targets and configurations that hang fail only after their time-out;
		// until then the node knows nothing of it.
		private void readOthers() {
			Instant present = EvacuationWorld.this.now;
			if (this.reducer.reliesOnReader(present) || this.storeCut || present.isBefore(this.nextRead)) {
				return;
			}
			this.nextRead = present.plus(READ_INTERVAL);
			accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), EvacuationWorld.this.revision));
			accept(new EntryEvent.TargetsChanged(List.of(), 100, EvacuationWorld.this.revision));
		}

		private void readEvacuations() {
			Instant present = EvacuationWorld.this.now;
			if (this.callBegunAt == null) {
				boolean paused = this.evacuationRevision >= 0 && this.reducer.receivesEvacuations(present);
				if (!paused && !present.isBefore(this.nextCall)) {
					beginCall(present);
				}
				return;
			}
			boolean changed = !changesSince(this.callSince).isEmpty();
			boolean answered = !this.callLost && !this.storeCut && !this.evacuationsHang
					&& !present.isBefore(this.callBegunAt.plus(CALL_TIME));
			if (answered && (this.callSince < 0 || changed || !present.isBefore(this.callEndsAt))) {
				handleAnswer(changed);
			}
			else if (!present.isBefore(this.callEndsAt.plus(CALL_MARGIN))) {
				this.callBegunAt = null;
				this.nextCall = present.plus(RETRY_DELAY);
				accept(new EntryEvent.EvacuationsUnreachable());
			}
		}

		private void beginCall(Instant present) {
			this.callBegunAt = present;
			this.callSince = this.evacuationRevision;
			this.callEndsAt = present.plus(this.reducer.evacuationsWait(present));
			this.callLost = this.evacuationCallsToLose > 0;
			this.evacuationCallsToLose--;
			EvacuationWorld.this.evacuationCalls++;
		}

		private void handleAnswer(boolean changed) {
			this.callBegunAt = null;
			this.nextCall = EvacuationWorld.this.now;
			if (this.callSince != this.evacuationRevision) {
				return;
			}
			long known = EvacuationWorld.this.revision;
			this.evacuationRevision = known;
			if (this.callSince < 0) {
				accept(new EntryEvent.EvacuationsListed(
						EvacuationWorld.this.evacuations.stream().map(DataCentreName::of).toList(), known));
			}
			else {
				List<EvacuationChange> read = changed ? changesSince(this.callSince) : List.of();
				accept(new EntryEvent.EvacuationsChanged(read, known));
			}
		}

		private List<EvacuationChange> changesSince(long since) {
			return EvacuationWorld.this.changes.stream()
				.filter((stored) -> stored.revision() > since)
				.map(StoredChange::change)
				.toList();
		}

		private void accept(EntryEvent event) {
			for (EntryEffect effect : this.reducer.accept(event, EvacuationWorld.this.now)) {
				if (effect instanceof EntryEffect.Send send) {
					send.nodes().forEach((address) -> deliver(address, send.message()));
				}
				else if (effect instanceof EntryEffect.AdvanceEvacuationRevision advance) {
					if (this.evacuationRevision >= 0) {
						this.evacuationRevision = Math.max(this.evacuationRevision, advance.revision());
					}
				}
				else if (effect instanceof EntryEffect.StartAttempt start) {
					DataCentreName dataCentre = EvacuationWorld.this.dataCentreByTarget.get(start.target().name());
					this.lastSent.put(dataCentre.value(), EvacuationWorld.this.now);
					accept(new EntryEvent.AttemptEnded(start.number(), start.attempt(),
							new AttemptEnd.Delivered(200, Duration.ZERO)));
				}
				else if (effect instanceof EntryEffect.SetReadiness readiness) {
					this.ready = readiness.ready();
				}
				else if (effect instanceof EntryEffect.Log log) {
					this.logged.computeIfAbsent(log.line().event(), (key) -> new ArrayList<>())
						.add(log.line().detail());
				}
			}
		}

		// A message arrives in the next step. A frozen node finds the last ones when it
		// goes on.
		private void deliver(Address address, NodeMessage message) {
			Node to = EvacuationWorld.this.byAddress.get(address);
			boolean lost = EvacuationWorld.this.random.nextDouble() < EvacuationWorld.this.lossShare;
			if (to != null && to.running && !lost) {
				to.arriving.add(message);
			}
		}

		@Override
		public String toString() {
			return this.name;
		}

	}

}
