package sycamorehill.support;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import sycamorehill.experiment.ControlNode;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.OperatorEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.OperatorEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.TicketRollout;

/**
 * A few nodes as values in one thread, with the fake platform and links that delay, lose,
 * double and cut. A paused node takes its events late, in their order.
 */
public final class NodeGroup {

	private static final Duration TICK = Duration.ofMillis(100);

	private static final int FIRST_PORT = 10_000;

	private final EventSchedule<Runnable> schedule = EventSchedule.create();

	private final Map<NodeName, Member> members = new TreeMap<>();

	private final Map<Address, NodeName> addresses = new HashMap<>();

	private final Map<OperatorCallIdentifier, FilingOutcome> outcomes = new HashMap<>();

	private final Map<OperatorCallIdentifier, TicketRollout> forces = new HashMap<>();

	private final Set<DataCentreName> withoutPlatform = new HashSet<>();

	private final List<LogLine> lines = new ArrayList<>();

	private final RandomGenerator random;

	private final Policy policy;

	private FakePlatform platform;

	private BiPredicate<NodeIdentity, NodeIdentity> cut = (from, to) -> false;

	private Consumer<ControlNode> observer = (node) -> {
	};

	private double lost;

	private double doubled;

	private long incarnations;

	private long calls;

	private NodeGroup(RandomGenerator random, Policy policy) {
		this.random = random;
		this.policy = policy;
		this.platform = FakePlatform.create(random);
	}

	public static NodeGroup create(RandomGenerator random) {
		return new NodeGroup(random, Policy.standard());
	}

	public static NodeGroup create(RandomGenerator random, Policy policy) {
		return new NodeGroup(random, policy);
	}

	/**
	 * Starts a node; one that ran under the name before is gone.
	 * @param name the node
	 * @param dataCentre where it runs
	 */
	public void start(String name, String dataCentre) {
		NodeName node = NodeName.of(name);
		kill(name);
		Address address = this.addresses.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(node))
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseGet(() -> Address.of("10.0.0.1", FIRST_PORT + this.addresses.size()));
		this.addresses.put(address, node);
		NodeIdentity identity = new NodeIdentity(NodeIncarnation.of(node, ++this.incarnations),
				DataCentreName.of(dataCentre), address);
		Member member = new Member(ControlNode.initial(identity, this.policy));
		this.members.put(node, member);
		member.take(new NodeEvent.Started(this.random.nextLong()));
		this.schedule.add(TICK, () -> tick(member));
	}

	public void kill(String name) {
		Member member = this.members.remove(NodeName.of(name));
		if (member != null) {
			member.alive = false;
		}
	}

	public void pause(String name, Duration length) {
		Member member = this.members.get(NodeName.of(name));
		member.pausedUntil = this.schedule.now().plus(length);
		this.schedule.add(length, member::drain);
	}

	public void cut(BiPredicate<NodeIdentity, NodeIdentity> fromTo) {
		this.cut = fromTo;
	}

	public void links(double lostShare, double doubledShare) {
		this.lost = lostShare;
		this.doubled = doubledShare;
	}

	public void platformReachable(String dataCentre, boolean reachable) {
		if (reachable) {
			this.withoutPlatform.remove(DataCentreName.of(dataCentre));
		}
		else {
			this.withoutPlatform.add(DataCentreName.of(dataCentre));
		}
	}

	public void observe(Consumer<ControlNode> afterEachStep) {
		this.observer = afterEachStep;
	}

	public FakePlatform platform() {
		return this.platform;
	}

	public void replacePlatform(FakePlatform other) {
		this.platform = other;
	}

	public Instant now() {
		return this.schedule.now();
	}

	public ControlNode node(String name) {
		return this.members.get(NodeName.of(name)).node;
	}

	public List<ControlNode> nodes() {
		return this.members.values().stream().map((member) -> member.node).toList();
	}

	public List<LogLine> lines() {
		return this.lines;
	}

	public void at(Duration delay, Runnable action) {
		this.schedule.add(delay, action);
	}

	public OperatorCallIdentifier file(String name, TicketDraft draft) {
		OperatorCallIdentifier call = new OperatorCallIdentifier(++this.calls);
		this.members.get(NodeName.of(name)).take(new OperatorEvent.TicketFiled(call, draft));
		return call;
	}

	public void deliver(String name, NodeIdentity from, PeerMessage message) {
		this.members.get(NodeName.of(name)).take(new PeerEvent.MessageReceived(from, message));
	}

	public OperatorCallIdentifier askForce(String name, long number) {
		OperatorCallIdentifier call = new OperatorCallIdentifier(++this.calls);
		this.members.get(NodeName.of(name)).take(new OperatorEvent.TicketForceAsked(call, number));
		return call;
	}

	public void stop(String name) {
		this.members.get(NodeName.of(name)).take(new NodeEvent.StopRequested());
	}

	public FilingOutcome outcome(OperatorCallIdentifier call) {
		return this.outcomes.get(call);
	}

	public TicketRollout force(OperatorCallIdentifier call) {
		return this.forces.get(call);
	}

	public void runFor(Duration length) {
		boolean[] over = new boolean[1];
		this.schedule.add(length, () -> over[0] = true);
		while (!over[0]) {
			this.schedule.next().orElseThrow().run();
		}
	}

	private void tick(Member member) {
		if (member.alive) {
			member.take(new NodeEvent.Ticked(this.schedule.now()));
			this.schedule.add(TICK, () -> tick(member));
		}
	}

	private void carryOut(Member member, Effect effect) {
		if (effect instanceof PlatformEffect.Call call) {
			call(member, call);
		}
		else if (effect instanceof PeerEffect.Send send) {
			send(member, send);
		}
		else if (effect instanceof OperatorEffect.AnswerFiling answer) {
			this.outcomes.put(answer.call(), answer.outcome());
		}
		else if (effect instanceof OperatorEffect.AnswerForce answer) {
			this.forces.put(answer.call(), answer.rollout());
		}
		else if (effect instanceof NodeEffect.WriteLog log) {
			this.lines.add(log.line());
		}
	}

	private void call(Member member, PlatformEffect.Call call) {
		Instant sentAt = this.schedule.now();
		if (this.withoutPlatform.contains(member.node.self().dataCentre())) {
			PlatformAnswer answer = new PlatformAnswer.NotTaken(Duration.ZERO, "no route");
			this.schedule.add(Duration.ofMillis(2),
					() -> member.take(new PlatformEvent.Answered(call.call(), answer, sentAt)));
			return;
		}
		for (FakePlatform.Delivery delivery : this.platform.call(call.request(), call.timeout())) {
			this.schedule.add(delivery.delay(), () -> {
				PlatformAnswer answer = delivery.apply().get();
				if (answer != null) {
					answer(member, new PlatformEvent.Answered(call.call(), answer, sentAt));
				}
			});
		}
	}

	private void answer(Member member, PlatformEvent.Answered answered) {
		member.take(answered);
		if (this.random.nextDouble() < this.doubled) {
			this.schedule.add(Duration.ofMillis(this.random.nextInt(500)), () -> member.take(answered));
		}
	}

	private void send(Member member, PeerEffect.Send send) {
		NodeIdentity from = member.node.self();
		int copies = (this.random.nextDouble() < this.lost) ? 0 : ((this.random.nextDouble() < this.doubled) ? 2 : 1);
		for (int copy = 0; copy < copies; copy++) {
			Duration delay = Duration.ofNanos(500_000 + this.random.nextInt(5_000_000));
			this.schedule.add(delay, () -> deliver(from, send));
		}
	}

	private void deliver(NodeIdentity from, PeerEffect.Send send) {
		NodeName name = this.addresses.get(send.to().peerAddress());
		Member receiver = (name != null) ? this.members.get(name) : null;
		if (receiver != null && !this.cut.test(from, receiver.node.self())) {
			receiver.take(new PeerEvent.MessageReceived(from, send.message()));
		}
	}

	private final class Member {

		private final List<Event> held = new ArrayList<>();

		private ControlNode node;

		private Instant pausedUntil = Instant.MIN;

		private boolean alive = true;

		private Member(ControlNode node) {
			this.node = node;
		}

		private void take(Event event) {
			if (!this.alive) {
				return;
			}
			Instant now = NodeGroup.this.schedule.now();
			if (now.isBefore(this.pausedUntil)) {
				this.held.add(event);
				return;
			}
			var step = this.node.reduce(now, event);
			this.node = step.state();
			NodeGroup.this.observer.accept(this.node);
			step.effects().forEach((effect) -> carryOut(this, effect));
		}

		private void drain() {
			List<Event> events = List.copyOf(this.held);
			this.held.clear();
			events.forEach(this::take);
		}

	}

}
