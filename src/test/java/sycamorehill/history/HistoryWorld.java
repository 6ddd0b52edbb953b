package sycamorehill.history;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import sycamorehill.experiment.RequestPathNode;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.support.EventSchedule;
import sycamorehill.support.SampleRequests;

/**
 * Nodes, targets and callers under one virtual clock and one seed.
 */
final class HistoryWorld {

	private static final Duration TICK = Duration.ofMillis(100);

	private final EventSchedule<Runnable> schedule = EventSchedule.create();

	private final Random random;

	private final HistoryFaults faults;

	private final List<HistoryNode> nodes = new ArrayList<>();

	private final Map<TargetName, FakeTarget> targets = new LinkedHashMap<>();

	private final List<ServingTarget> serving = new ArrayList<>();

	private final List<CallerRecord> callers = new ArrayList<>();

	private final Map<AttemptIdentifier, CallerRecord> owners = new HashMap<>();

	private long requests;

	private long incarnations;

	HistoryWorld(long seed, HistoryFaults faults, int nodeCount, int targetCount) {
		this.random = new Random(seed);
		this.faults = faults;
		for (int number = 0; number < targetCount; number++) {
			ServingTarget target = SampleRequests.target("t" + number);
			this.serving.add(target);
			this.targets.put(target.name(), new FakeTarget(this, target));
		}
		for (int number = 0; number < nodeCount; number++) {
			this.nodes.add(newLife("n" + number));
		}
		at(TICK, this::tick);
	}

	private HistoryNode newLife(String name) {
		NodeIncarnation incarnation = NodeIncarnation.of(NodeName.of(name), ++this.incarnations);
		NodeIdentity identity = new NodeIdentity(incarnation, DataCentreName.of("east"), Address.of("127.0.0.1", 7000));
		HistoryNode node = new HistoryNode(this,
				RequestPathNode.create(identity, Policy.standard(), true, () -> this.serving, this::liveNodes));
		node.feed(new NodeEvent.Started(this.random.nextLong()));
		return node;
	}

	private LiveNodes liveNodes() {
		LiveNodes live = LiveNodes.empty();
		for (HistoryNode node : this.nodes) {
			live = new LiveNodes(live.nodes()
				.plus(node.identity().incarnation().node(), new LiveNode(node.identity(), false, now())));
		}
		return live;
	}

	private void tick() {
		List.copyOf(this.nodes).forEach((node) -> node.feed(new NodeEvent.Ticked(now())));
		at(TICK, this::tick);
	}

	Instant now() {
		return this.schedule.now();
	}

	HistoryFaults faults() {
		return this.faults;
	}

	List<CallerRecord> callers() {
		return this.callers;
	}

	List<HistoryNode> nodes() {
		return this.nodes;
	}

	List<FakeTarget> allTargets() {
		return List.copyOf(this.targets.values());
	}

	FakeTarget target(TargetName name) {
		return this.targets.get(name);
	}

	boolean draw(double share) {
		return this.random.nextDouble() < share;
	}

	int drawBelow(int bound) {
		return this.random.nextInt(bound);
	}

	void at(Duration delay, Runnable action) {
		this.schedule.add(delay, action);
	}

	void later(Runnable action) {
		at(Duration.ofMillis(1 + this.random.nextInt(5)), action);
	}

	void frame(Duration delay, Runnable arrival) {
		if (draw(this.faults.lostFrame())) {
			return;
		}
		Duration arrivalDelay = draw(this.faults.lateFrame()) ? delay.plusMillis(this.random.nextInt(400)) : delay;
		at(arrivalDelay, arrival);
		if (draw(this.faults.doubledFrame())) {
			at(arrivalDelay.plusMillis(this.random.nextInt(400)), arrival);
		}
	}

	void message(NodeIdentity to, Event event) {
		if (!draw(this.faults.lostMessage())) {
			later(() -> this.nodes.stream().filter((node) -> node.identity().equals(to)).forEach((n) -> n.feed(event)));
		}
	}

	void remember(AttemptIdentifier attempt, CallerRecord caller) {
		this.owners.put(attempt, caller);
	}

	CallerRecord ownerOf(AttemptIdentifier attempt) {
		return this.owners.get(attempt);
	}

	CallerRecord call(int node, Idempotency handling, String content) {
		HistoryNode entry = this.nodes.get(node);
		RequestDescription sample = SampleRequests.request(entry.identity().incarnation().node().value(),
				this.requests++, content);
		RequestDescription request = new RequestDescription(sample.identifier(), sample.keyHash(), sample.service(),
				sample.method(), sample.path(), 1, CallerRecord.TOKENS, List.of(), sample.priority(),
				now().plus(SampleRequests.DEADLINE), sample.orderKey(), sample.fingerprint());
		CallerRecord caller = new CallerRecord(request, handling);
		this.callers.add(caller);
		entry.accept(caller);
		return caller;
	}

	void leave(int node, CallerRecord caller) {
		HistoryNode entry = this.nodes.get(node);
		if (entry.callers.containsKey(caller.request.identifier())) {
			entry.feed(new RequestEvent.CallerGone(caller.request.identifier()));
		}
	}

	int runs(CallerRecord caller) {
		return this.targets.values()
			.stream()
			.mapToInt((target) -> target.runs.getOrDefault(caller.request.identifier(), 0))
			.sum();
	}

	void restart(int node) {
		HistoryNode old = this.nodes.get(node);
		old.die();
		this.nodes.set(node, newLife(old.identity().incarnation().node().value()));
	}

	HistoryWorld run(Duration time) {
		Instant end = now().plus(time);
		while (now().isBefore(end)) {
			this.schedule.next().orElseThrow().run();
		}
		return this;
	}

}
