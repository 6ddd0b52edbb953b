package sycamorehill.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
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
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.peer.PeerMessageCodec;
import sycamorehill.standin.ObjectStore;

/**
 * Many control nodes as values in one thread and in virtual time, on the stand-in's
 * object store. Every message is written and read by the real codec, so that its bytes
 * count and no two nodes share what they keep.
 */
final class ControlFleet {

	private static final Duration TICK = Duration.ofMillis(100);

	private static final int NEAR_MICROS = 300;

	private static final int FAR_MICROS = 4000;

	private static final int PLATFORM_MICROS = 3000;

	private static final int NANOS_PER_MICRO = 1000;

	private static final int FIRST_PORT = 20_000;

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparing(Entry::at).thenComparingLong(Entry::order));

	private final PeerMessageCodec codec = PeerMessageCodec.standard();

	private final ObjectStore store = ObjectStore.create();

	private final List<FleetNode> nodes = new ArrayList<>();

	private final Map<Address, FleetNode> byAddress = new HashMap<>();

	private final List<HeldWatch> watches = new ArrayList<>();

	private final Map<OperatorCallIdentifier, FilingOutcome> outcomes = new HashMap<>();

	private final FleetCounters counters = new FleetCounters();

	private final SplittableRandom random;

	private final Policy policy;

	private Instant now = Instant.EPOCH;

	private long order;

	private long incarnations;

	private long operatorCalls;

	private boolean platformDown;

	private FleetNode doomed;

	private long doomedAt;

	private ControlFleet(long seed, Policy policy) {
		this.random = new SplittableRandom(seed);
		this.policy = policy;
	}

	static ControlFleet start(int size, int dataCentres, long seed, Policy policy) {
		ControlFleet fleet = new ControlFleet(seed, policy);
		for (int index = 0; index < size; index++) {
			FleetNode node = new FleetNode("node-" + index, "centre-" + index % dataCentres,
					Address.of("10.0.0.1", FIRST_PORT + index));
			fleet.nodes.add(node);
			fleet.byAddress.put(node.address, node);
			fleet.start(node);
		}
		return fleet;
	}

	void start(FleetNode node) {
		NodeIdentity identity = new NodeIdentity(NodeIncarnation.of(NodeName.of(node.name), ++this.incarnations),
				DataCentreName.of(node.dataCentre), node.address);
		node.value = ControlNode.initial(identity, this.policy);
		node.alive = true;
		take(node, new NodeEvent.Started(this.random.nextLong()));
		long life = this.incarnations;
		at(Duration.ofNanos(this.random.nextLong(TICK.toNanos())), () -> tick(node, life));
	}

	List<FleetNode> nodes() {
		return this.nodes;
	}

	FleetCounters counters() {
		return this.counters;
	}

	Instant now() {
		return this.now;
	}

	SplittableRandom random() {
		return this.random;
	}

	void platformDown(boolean down) {
		this.platformDown = down;
		if (down) {
			List<HeldWatch> held = List.copyOf(this.watches);
			this.watches.clear();
			for (HeldWatch watch : held) {
				answer(watch.node, watch.call, new PlatformAnswer.NotKnown("connection lost"), watch.sentAt);
			}
		}
	}

	/**
	 * Lets a node die in the very step in which it learns a ticket, before anything that
	 * it wants to send has left it.
	 * @param node the node
	 * @param number the ticket
	 */
	void dieOnLearning(FleetNode node, long number) {
		this.doomed = node;
		this.doomedAt = number;
	}

	OperatorCallIdentifier file(FleetNode node, TicketDraft draft) {
		OperatorCallIdentifier call = new OperatorCallIdentifier(++this.operatorCalls);
		take(node, new OperatorEvent.TicketFiled(call, draft));
		return call;
	}

	FilingOutcome outcome(OperatorCallIdentifier call) {
		return this.outcomes.get(call);
	}

	void runFor(Duration length) {
		Instant end = this.now.plus(length);
		while (!this.entries.isEmpty() && !this.entries.peek().at.isAfter(end)) {
			Entry entry = this.entries.poll();
			this.now = entry.at;
			entry.action.run();
		}
		this.now = end;
	}

	private void tick(FleetNode node, long life) {
		if (node.alive && node.value.self().incarnation().number() == life) {
			take(node, new NodeEvent.Ticked(this.now));
			at(TICK, () -> tick(node, life));
		}
	}

	private void take(FleetNode node, Event event) {
		if (!node.alive) {
			return;
		}
		long number = node.value.ticket().log().number();
		long began = System.nanoTime();
		Step<ControlNode> step = node.value.reduce(this.now, event);
		this.counters.reduced(node, System.nanoTime() - began);
		node.value = step.state();
		boolean learnt = node.value.ticket().log().number() > number;
		if (learnt) {
			node.learntAt = this.now;
			node.hops = hops(event);
		}
		if (learnt && node == this.doomed && node.value.ticket().log().number() >= this.doomedAt) {
			node.alive = false;
			this.doomed = null;
			return;
		}
		step.effects().forEach((effect) -> carryOut(node, effect));
	}

	private int hops(Event event) {
		if (event instanceof PeerEvent.MessageReceived received) {
			return this.byAddress.get(received.from().peerAddress()).hops + 1;
		}
		return 1;
	}

	private void carryOut(FleetNode node, Effect effect) {
		if (effect instanceof PeerEffect.Send send) {
			send(node, send);
		}
		else if (effect instanceof PlatformEffect.Call call) {
			call(node, call);
		}
		else if (effect instanceof OperatorEffect.AnswerFiling answer) {
			this.outcomes.put(answer.call(), answer.outcome());
		}
	}

	private void send(FleetNode node, PeerEffect.Send send) {
		FleetNode receiver = this.byAddress.get(send.to().peerAddress());
		NodeIdentity from = node.value.self();
		PeerMessage copy;
		try {
			this.counters.sent(node, receiver, this.codec.frameLength(send.message()));
			long began = System.nanoTime();
			copy = this.codec.roundTrip(send.message());
			this.counters.coded(System.nanoTime() - began);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		boolean near = receiver.dataCentre.equals(node.dataCentre);
		at(link(near ? NEAR_MICROS : FAR_MICROS), () -> take(receiver, new PeerEvent.MessageReceived(from, copy)));
	}

	private void call(FleetNode node, PlatformEffect.Call call) {
		this.counters.called(call.request());
		Instant sentAt = this.now;
		at(link(PLATFORM_MICROS), () -> {
			if (this.platformDown) {
				answer(node, call, new PlatformAnswer.NotTaken(Duration.ZERO, "outage"), sentAt);
				return;
			}
			PlatformAnswer answer = this.store.call(call.request());
			boolean empty = answer instanceof PlatformAnswer.Listed listed && listed.objects().isEmpty();
			if (call.request() instanceof PlatformRequest.Watch watch && empty) {
				hold(new HeldWatch(node, call, watch, sentAt));
				return;
			}
			answer(node, call, answer, sentAt);
			if (answer instanceof PlatformAnswer.Written) {
				wakeWatches();
			}
		});
	}

	private void hold(HeldWatch held) {
		this.watches.add(held);
		at(held.watch.maximumWait(), () -> {
			if (this.watches.remove(held)) {
				answer(held.node, held.call, this.store.call(held.watch), held.sentAt);
			}
		});
	}

	private void wakeWatches() {
		for (HeldWatch held : List.copyOf(this.watches)) {
			PlatformAnswer.Listed answer = (PlatformAnswer.Listed) this.store.call(held.watch);
			if (!answer.objects().isEmpty() && this.watches.remove(held)) {
				answer(held.node, held.call, answer, held.sentAt);
			}
		}
	}

	private void answer(FleetNode node, PlatformEffect.Call call, PlatformAnswer answer, Instant sentAt) {
		NodeIncarnation life = node.value.self().incarnation();
		at(link(PLATFORM_MICROS), () -> {
			if (node.value.self().incarnation().equals(life)) {
				take(node, new PlatformEvent.Answered(call.call(), answer, sentAt));
			}
		});
	}

	// Half of the delay is fixed; the other half varies, with a tail now and then.
	private Duration link(int micros) {
		int varying = (this.random.nextInt(100) == 0) ? micros * 10 : micros;
		return Duration.ofNanos((long) NANOS_PER_MICRO * (micros / 2 + this.random.nextInt(varying)));
	}

	private void at(Duration delay, Runnable action) {
		this.entries.add(new Entry(this.now.plus(delay), this.order++, action));
	}

	/**
	 * One node and what is measured of it.
	 */
	static final class FleetNode {

		private final String name;

		private final String dataCentre;

		private final Address address;

		private ControlNode value;

		private boolean alive;

		private Instant learntAt = Instant.EPOCH;

		private int hops;

		private FleetNode(String name, String dataCentre, Address address) {
			this.name = name;
			this.dataCentre = dataCentre;
			this.address = address;
		}

		ControlNode value() {
			return this.value;
		}

		boolean alive() {
			return this.alive;
		}

		Instant learntAt() {
			return this.learntAt;
		}

		int hops() {
			return this.hops;
		}

		String dataCentre() {
			return this.dataCentre;
		}

	}

	private record Entry(Instant at, long order, Runnable action) {
	}

	private record HeldWatch(FleetNode node, PlatformEffect.Call call, PlatformRequest.Watch watch, Instant sentAt) {
	}

}
