package sycamorehill.experiment.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.ItemKey;

/**
 * Nodes, VMs and a platform in one thread and in virtual time. A seed gives one history.
 */
public final class GroupTrial {

	static final Duration STEP = Duration.ofMillis(100);

	private static final Duration PEER_DELAY = Duration.ofMillis(3);

	private static final Duration LIVE_BOUND = Duration.ofSeconds(3);

	private static final int STEPS_PER_SECOND = 10;

	private final PriorityQueue<Entry> queue = new PriorityQueue<>(
			Comparator.comparing((Entry entry) -> entry.at).thenComparingLong((entry) -> entry.order));

	private final List<TrialNode> nodes = new ArrayList<>();

	private final Map<VmName, TrialEngine> engines = new TreeMap<>();

	private final Map<NodeName, Instant> lastRan = new TreeMap<>();

	private final TrialSettings settings;

	private final TrialPlatform platform;

	private final RandomGenerator random;

	private TrialFigures figures = new TrialFigures();

	private final TrialTraffic traffic = new TrialTraffic();

	private final TrialVms vms;

	private final TrialCheck check;

	private final List<String> log = new ArrayList<>();

	private DesiredState truth = DesiredState.empty();

	private Instant now = Instant.EPOCH;

	private long entries;

	private GroupTrial(TrialSettings settings, TrialPlatform platform) {
		this.settings = settings;
		this.platform = platform;
		this.random = new Random(settings.seed());
		this.vms = new TrialVms(this, settings, this.engines);
		this.check = new TrialCheck(this, settings);
		for (int dataCentre = 0; dataCentre < settings.dataCentres(); dataCentre++) {
			addDataCentre(DataCentreName.of("dc" + dataCentre), dataCentre);
		}
	}

	/**
	 * Creates a trial before its first step.
	 * @param settings what it runs
	 * @param platform the platform
	 * @return the trial
	 */
	public static GroupTrial create(TrialSettings settings, TrialPlatform platform) {
		return new GroupTrial(settings, platform);
	}

	private void addDataCentre(DataCentreName name, int number) {
		for (int index = 0; index < this.settings.nodes(); index++) {
			NodeName node = NodeName.of(name + "-n" + index);
			NodeIdentity self = new NodeIdentity(NodeIncarnation.of(node, this.random.nextInt(1, 1000)), name,
					Address.of("10.1." + number + "." + (index % 250), 7000));
			this.nodes.add(new TrialNode(self, this.settings.policy(),
					Duration.ofMillis(this.random.nextInt(1_000_000, 9_000_000))));
		}
		for (int domain = 0; domain < this.settings.domains(); domain++) {
			for (int vm = 0; vm < this.settings.vms(); vm++) {
				VmName vmName = VmName.of(String.format("%s-d%d-vm%02d", name, domain, vm));
				this.engines.put(vmName, new TrialEngine(vmName, name, FabricDomain.of(name + "-d" + domain)));
			}
		}
	}

	/**
	 * The time of the trial.
	 * @return the time
	 */
	public Instant now() {
		return this.now;
	}

	/**
	 * The nodes.
	 * @return the nodes
	 */
	public List<TrialNode> nodes() {
		return this.nodes;
	}

	/**
	 * The engines by VM.
	 * @return the engines
	 */
	public Map<VmName, TrialEngine> engines() {
		return this.engines;
	}

	/**
	 * What the nodes logged.
	 * @return the lines, the first one first
	 */
	public List<String> log() {
		return this.log;
	}

	/**
	 * What was measured.
	 * @return the figures so far
	 */
	public TrialFigures figures() {
		return this.figures;
	}

	/**
	 * Begins to measure anew.
	 */
	public void restartFigures() {
		this.figures = new TrialFigures();
	}

	/**
	 * The random choices of the trial.
	 * @return the generator
	 */
	public RandomGenerator random() {
		return this.random;
	}

	/**
	 * Chances that an order to an engine is late or its answer lost.
	 * @return the model of the VMs
	 */
	public TrialVms vms() {
		return this.vms;
	}

	TrialTraffic traffic() {
		return this.traffic;
	}

	TrialCheck check() {
		return this.check;
	}

	DesiredState truth() {
		return this.truth;
	}

	/**
	 * The allocation as the platform keeps it.
	 * @param dataCentre the data centre
	 * @return the allocation, empty before the first write
	 */
	public Allocation allocation(DataCentreName dataCentre) {
		StoredObject object = this.platform
			.look(new PlatformRequest.Read(ObjectKey.of(ObjectKind.ALLOCATION, dataCentre.value())));
		return (object != null) ? (Allocation) object.value() : Allocation.empty(dataCentre);
	}

	/**
	 * Puts a ticket in force.
	 * @param items the items that it sets
	 */
	public void file(Item... items) {
		change((kept, number) -> {
			for (Item item : items) {
				kept.put(item.key(), new AppliedItem(item, number));
			}
		});
	}

	/**
	 * Files a ticket that removes an item.
	 * @param item the item
	 */
	public void remove(Item item) {
		change((kept, number) -> kept.remove(item.key()));
	}

	private void change(BiConsumer<Map<ItemKey, AppliedItem>, Long> ticket) {
		Map<ItemKey, AppliedItem> kept = new TreeMap<>();
		this.truth.items().values().forEach((item) -> kept.put(item.item().key(), item));
		long number = this.truth.number() + 1;
		ticket.accept(kept, number);
		this.truth = DesiredState.of(number, List.copyOf(kept.values()));
		for (TrialNode node : this.nodes) {
			at(Duration.ofMillis(this.random.nextInt(100, 1500)), () -> node.truth(this.truth));
		}
	}

	/**
	 * Lets something happen later.
	 * @param delay how long after now
	 * @param action what happens
	 */
	public void at(Duration delay, Runnable action) {
		this.queue.add(new Entry(this.now.plus(delay), this.entries++, action));
	}

	/**
	 * Runs on.
	 * @param time how long
	 */
	public void run(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			step();
		}
	}

	private void step() {
		Instant until = this.now.plus(STEP);
		while (!this.queue.isEmpty() && !this.queue.peek().at.isAfter(until)) {
			Entry entry = this.queue.poll();
			this.now = entry.at;
			entry.action.run();
		}
		this.now = until;
		this.vms.advance();
		boolean wholeSecond = (until.toEpochMilli() / STEP.toMillis()) % STEPS_PER_SECOND == 0;
		if (wholeSecond) {
			liveNodes();
		}
		for (TrialNode node : this.nodes) {
			if (node.runs(this.now)) {
				this.lastRan.put(node.self().incarnation().node(), this.now);
				wake(node);
				carryOut(node, node.take(this.now, new NodeEvent.Ticked(this.now)));
			}
		}
		this.check.step(wholeSecond);
	}

	private void wake(TrialNode node) {
		while (!node.held().isEmpty()) {
			node.held().poll().run();
		}
	}

	private void liveNodes() {
		for (TrialNode viewer : this.nodes) {
			PMap<NodeName, LiveNode> live = TreePMap.empty();
			for (TrialNode node : this.nodes) {
				NodeName name = node.self().incarnation().node();
				boolean heard = this.lastRan.getOrDefault(name, this.now).plus(LIVE_BOUND).isAfter(this.now);
				if (node == viewer || (heard && node.reachesPeers() && viewer.reachesPeers())) {
					live = live.plus(name, new LiveNode(node.self(), false, viewer.clock(this.now)));
				}
			}
			viewer.liveNodes(new LiveNodes(live));
		}
	}

	void deliver(TrialNode node, Event event) {
		if (node.isStopped()) {
			return;
		}
		if (!node.runs(this.now)) {
			node.held().add(() -> carryOut(node, node.take(this.now, event)));
			return;
		}
		carryOut(node, node.take(this.now, event));
	}

	private void carryOut(TrialNode node, List<Effect> effects) {
		for (Effect effect : effects) {
			if (effect instanceof PlatformEffect.Call call) {
				platform(node, call);
			}
			else if (effect instanceof PeerEffect.Send send) {
				peer(node, send);
			}
			else if (effect instanceof NodeEffect.WriteLog write) {
				this.log.add(this.now + " " + node.self().incarnation().node() + " " + write.line().event() + " "
						+ write.line().detail());
			}
			else if (effect instanceof TargetEffect target) {
				this.vms.carryOut(node, target);
			}
		}
	}

	private void platform(TrialNode node, PlatformEffect.Call call) {
		this.figures.platformCall();
		Instant sentAt = node.clock(this.now);
		if (!node.reachesPlatform()) {
			PlatformAnswer cut = new PlatformAnswer.NotKnown("cut off");
			at(call.timeout(), () -> deliver(node, new PlatformEvent.Answered(call.call(), cut, sentAt)));
			return;
		}
		for (TrialPlatform.Delivery delivery : this.platform.call(call.request(), call.timeout())) {
			at(delivery.delay(), () -> {
				PlatformAnswer answer = delivery.apply().get();
				if (answer != null) {
					deliver(node, new PlatformEvent.Answered(call.call(), answer, sentAt));
				}
			});
		}
	}

	private void peer(TrialNode node, PeerEffect.Send send) {
		for (TrialNode other : this.nodes) {
			if (other.self().equals(send.to()) && node.reachesPeers() && other.reachesPeers()) {
				this.traffic.message(node, other, send.message());
				at(PEER_DELAY, () -> deliver(other, new PeerEvent.MessageReceived(node.self(), send.message())));
			}
		}
	}

	private record Entry(Instant at, long order, Runnable action) {

	}

}
