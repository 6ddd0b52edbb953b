package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.peer.ShareAmounts;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.WorkspaceItem;
import sycamorehill.support.EventSchedule;

/**
 * Simulates the admission of several nodes over a network that loses, delays and
 * duplicates messages. Each node has a clock of its own.
 */
final class LimitSharingSimulation {

	static final WorkspaceItem WORKSPACE = RequestFixtures.workspace("w", 60, 60, 1);

	private static final Duration TICK = Duration.ofMillis(100);

	private final AdmissionReducer reducer = AdmissionReducer.create();

	private final EventSchedule<Runnable> schedule = EventSchedule.create();

	private final List<SimulatedNode> nodes = new ArrayList<>();

	private final Random random;

	private double loss;

	private double duplication;

	private int maximumDelayMilliseconds = 10;

	private int partitionedDataCentre = -1;

	private long requests;

	private LimitSharingSimulation(int dataCentres, int nodesPerDataCentre, long seed) {
		this.random = new Random(seed);
		for (int number = 0; number < dataCentres * nodesPerDataCentre; number++) {
			this.nodes.add(new SimulatedNode(number, number / nodesPerDataCentre));
		}
		this.nodes.forEach(this::start);
	}

	static LimitSharingSimulation create(int dataCentres, int nodesPerDataCentre, long seed) {
		return new LimitSharingSimulation(dataCentres, nodesPerDataCentre, seed);
	}

	void faults(double lossProbability, double duplicationProbability, int maximumDelay) {
		this.loss = lossProbability;
		this.duplication = duplicationProbability;
		this.maximumDelayMilliseconds = maximumDelay;
	}

	void partition(int dataCentre) {
		this.partitionedDataCentre = dataCentre;
	}

	void crash(int number) {
		SimulatedNode node = this.nodes.get(number);
		node.alive = false;
		node.incarnation++;
	}

	void restart(int number) {
		crash(number);
		start(this.nodes.get(number));
	}

	void request(int number) {
		SimulatedNode node = this.nodes.get(number);
		if (node.alive) {
			Instant now = node.clock();
			apply(node, new RequestEvent.Arrived(RequestFixtures.chat(++this.requests, "w", now)));
		}
	}

	void run(Duration time) {
		Instant end = this.schedule.now().plus(time);
		boolean[] ended = { false };
		this.schedule.add(time, () -> ended[0] = true);
		while (!ended[0]) {
			this.schedule.next().orElseThrow().run();
		}
		if (this.schedule.now().isBefore(end)) {
			throw new IllegalStateException("simulated time did not advance");
		}
	}

	ShareAmounts usable(int number) {
		SimulatedNode node = this.nodes.get(number);
		LimitState.WorkspaceEntry entry = node.state.limits().workspaces().get(WORKSPACE.name());
		return (node.alive && entry != null) ? entry.account().usableAt(node.clock()) : ShareAmounts.NONE;
	}

	/**
	 * Returns the sum of what all nodes may use now. A node without an entry for the
	 * workspace counts as zero.
	 */
	ShareAmounts usableByAll() {
		ShareAmounts sum = ShareAmounts.NONE;
		for (SimulatedNode node : this.nodes) {
			sum = sum.plus(usable(node.number));
		}
		return sum;
	}

	int messages() {
		return this.nodes.stream().mapToInt((node) -> node.sent).sum();
	}

	private void start(SimulatedNode node) {
		node.alive = true;
		node.state = AdmissionState.initial();
		node.view = FakeNodeView.of(node.identity())
			.with(RequestFixtures.CHAT_SERVICE, WORKSPACE, plainServiceInAllDataCentres());
		int incarnation = node.incarnation;
		apply(node, new NodeEvent.Started(incarnation));
		this.schedule.add(Duration.ofMillis(this.random.nextInt(100)), () -> tick(node, incarnation));
	}

	private ServiceItem plainServiceInAllDataCentres() {
		List<PlainTarget> targets = this.nodes.stream()
			.map((node) -> new PlainTarget(TargetName.of("t" + node.dataCentre),
					DataCentreName.of("dc" + node.dataCentre), Address.of("127.0.0.1", 1)))
			.toList();
		return ServiceItem.plain(RequestFixtures.PLAIN, targets, List.of());
	}

	private void tick(SimulatedNode node, int incarnation) {
		if (node.alive && node.incarnation == incarnation) {
			node.view = FakeNodeView.of(node.identity())
				.with(RequestFixtures.CHAT_SERVICE, WORKSPACE, plainServiceInAllDataCentres())
				.liveNodes(liveNodesSeenBy(node));
			apply(node, new NodeEvent.Ticked(Instant.EPOCH));
			this.schedule.add(TICK, () -> tick(node, incarnation));
		}
	}

	private LiveNodes liveNodesSeenBy(SimulatedNode viewer) {
		PMap<NodeName, LiveNode> seen = TreePMap.empty();
		for (SimulatedNode node : this.nodes) {
			if (node.alive && !partitioned(viewer, node)) {
				NodeIdentity identity = node.identity();
				seen = seen.plus(identity.incarnation().node(), new LiveNode(identity, false, Instant.EPOCH));
			}
		}
		return new LiveNodes(seen);
	}

	private boolean partitioned(SimulatedNode one, SimulatedNode other) {
		return (one.dataCentre == this.partitionedDataCentre) != (other.dataCentre == this.partitionedDataCentre);
	}

	private void apply(SimulatedNode node, Event event) {
		Step<AdmissionState> step = this.reducer.reduce(node.state, node.clock(), event, node.view);
		node.state = step.state();
		for (Effect effect : step.effects()) {
			if (effect instanceof PeerEffect.Send send) {
				send(node, send);
			}
			else if (effect instanceof NodeEffect.Raise raise
					&& raise.event() instanceof RequestEvent.Admitted admitted) {
				node.admitted++;
				Duration answer = Duration.ofMillis(200);
				int incarnation = node.incarnation;
				this.schedule.add(answer, () -> finish(node, incarnation, admitted));
			}
		}
	}

	private void finish(SimulatedNode node, int incarnation, RequestEvent.Admitted admitted) {
		if (node.alive && node.incarnation == incarnation) {
			apply(node, new RequestEvent.Finished(admitted.request(), admitted.idempotency(),
					new RequestOutcome.Completed(), 10, Optional.empty()));
		}
	}

	private void send(SimulatedNode from, PeerEffect.Send send) {
		from.sent++;
		NodeIdentity sender = from.identity();
		int copies = (this.random.nextDouble() < this.duplication) ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			if (this.random.nextDouble() >= this.loss) {
				Duration delay = Duration.ofMillis(1 + this.random.nextInt(this.maximumDelayMilliseconds));
				this.schedule.add(delay, () -> deliver(from, sender, send.to(), send.message()));
			}
		}
	}

	private void deliver(SimulatedNode from, NodeIdentity sender, NodeIdentity to, PeerMessage message) {
		// A late message can reach a later incarnation of the same node at the same
		// address.
		for (SimulatedNode node : this.nodes) {
			if (node.alive && node.name().equals(to.incarnation().node()) && !partitioned(from, node)) {
				apply(node, new PeerEvent.MessageReceived(sender, message));
			}
		}
	}

	int admitted(int number) {
		return this.nodes.get(number).admitted;
	}

	/**
	 * A node whose clock starts at a random time and runs up to 0.4 % fast or slow.
	 */
	private final class SimulatedNode {

		private final int number;

		private final int dataCentre;

		private final long clockOffsetMilliseconds = LimitSharingSimulation.this.random.nextInt(1_000_000);

		private final double clockSpeed = 0.996 + LimitSharingSimulation.this.random.nextDouble() * 0.008;

		private AdmissionState state = AdmissionState.initial();

		private FakeNodeView view;

		private boolean alive;

		private int incarnation;

		private int sent;

		private int admitted;

		private SimulatedNode(int number, int dataCentre) {
			this.number = number;
			this.dataCentre = dataCentre;
		}

		private NodeName name() {
			return NodeName.of("n" + this.number);
		}

		private NodeIdentity identity() {
			return new NodeIdentity(NodeIncarnation.of(name(), this.incarnation),
					DataCentreName.of("dc" + this.dataCentre), Address.of("127.0.0.1", 1 + this.number));
		}

		private Instant clock() {
			Duration passed = Duration.between(Instant.EPOCH, LimitSharingSimulation.this.schedule.now());
			return Instant.ofEpochMilli(this.clockOffsetMilliseconds)
				.plusNanos((long) (passed.toNanos() * this.clockSpeed));
		}

	}

}
