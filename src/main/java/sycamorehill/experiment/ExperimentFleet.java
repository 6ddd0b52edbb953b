package sycamorehill.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.target.ServingTarget;

/**
 * Nodes and targets of one experiment under a virtual time and a seed.
 */
final class ExperimentFleet {

	private static final ServiceName SERVICE = ServiceName.of("drafts");

	private static final DataCentreName DATA_CENTRE = DataCentreName.of("east");

	private static final Address ADDRESS = Address.of("127.0.0.1", 7000);

	private static final Duration TICK = Duration.ofMillis(100);

	private static final Duration DEADLINE = Duration.ofSeconds(8);

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final List<ExperimentNode> nodes = new ArrayList<>();

	private final Map<TargetName, ExperimentTarget> targets = new LinkedHashMap<>();

	private final List<ServingTarget> serving = new ArrayList<>();

	private Duration serviceTime = Duration.ofMillis(100);

	private ExperimentCounts counts = ExperimentCounts.none();

	private long requests;

	private ExperimentFleet(long seed) {
		this.random = new Random(seed);
	}

	static ExperimentFleet create(long seed, Policy policy, boolean isolating, int nodeCount, int targetCount,
			int slots) {
		ExperimentFleet fleet = new ExperimentFleet(seed);
		for (int number = 0; number < targetCount; number++) {
			fleet.addTarget("t" + number, slots);
		}
		for (int number = 0; number < nodeCount; number++) {
			fleet.addNode("n" + number, policy, isolating);
		}
		fleet.tick();
		return fleet;
	}

	private void addTarget(String name, int slots) {
		ServingTarget target = new ServingTarget(TargetName.of(name), SERVICE, DATA_CENTRE, ADDRESS, Optional.empty(),
				List.of());
		this.serving.add(target);
		this.targets.put(target.name(), new ExperimentTarget(this, target, slots));
	}

	private void addNode(String name, Policy policy, boolean isolating) {
		NodeIdentity identity = new NodeIdentity(NodeIncarnation.of(NodeName.of(name), 1), DATA_CENTRE, ADDRESS);
		RequestPathNode logic = RequestPathNode.create(identity, policy, isolating, () -> this.serving, this::live);
		ExperimentNode node = new ExperimentNode(this, logic);
		this.nodes.add(node);
		node.feed(new NodeEvent.Started(this.random.nextLong()));
	}

	private LiveNodes live() {
		LiveNodes live = LiveNodes.empty();
		for (ExperimentNode node : this.nodes) {
			NodeIdentity identity = node.logic().self();
			live = new LiveNodes(
					live.nodes().plus(identity.incarnation().node(), new LiveNode(identity, false, this.time.now())));
		}
		return live;
	}

	private void tick() {
		this.nodes.forEach((node) -> node.feed(new NodeEvent.Ticked(this.time.now())));
		this.time.after(TICK, this::tick);
	}

	VirtualTime time() {
		return this.time;
	}

	Random random() {
		return this.random;
	}

	ExperimentTarget target(TargetName name) {
		return this.targets.get(name);
	}

	int deaths() {
		return this.targets.values().stream().mapToInt(ExperimentTarget::deaths).sum();
	}

	Duration serviceTime() {
		// Between half and one and a half times the mean.
		return Duration.ofNanos((long) (this.serviceTime.toNanos() * (0.5 + this.random.nextDouble())));
	}

	void setServiceTime(Duration mean) {
		this.serviceTime = mean;
	}

	void soon(Runnable action) {
		this.time.after(Duration.ofMillis(1 + this.random.nextInt(4)), action);
	}

	void message(NodeIdentity to, Event event) {
		soon(() -> this.nodes.stream()
			.filter((node) -> node.logic().self().equals(to))
			.forEach((node) -> node.feed(event)));
	}

	void call(String content) {
		ExperimentNode node = this.nodes.get(this.random.nextInt(this.nodes.size()));
		RequestIdentifier identifier = RequestIdentifier.of(node.logic().self().incarnation(), this.requests++);
		RequestDescription request = new RequestDescription(identifier, "", SERVICE, "POST", "/", 1, 1, List.of(),
				Priority.NORMAL, this.time.now().plus(DEADLINE), Optional.empty(), new Fingerprint(content));
		this.counts = this.counts.plusOffered();
		node.accept(request, Idempotency.REPEATABLE);
	}

	void callEvery(Duration mean, Duration length, String content) {
		if (length.isNegative()) {
			return;
		}
		call(content + this.requests);
		Duration gap = Duration.ofNanos((long) (-Math.log(1 - this.random.nextDouble()) * mean.toNanos()));
		this.time.after(gap, () -> callEvery(mean, length.minus(gap), content));
	}

	void sent() {
		this.counts = this.counts.plusSent();
	}

	void finished(String content, boolean served) {
		if (!content.startsWith(ExperimentTarget.POISON)) {
			this.counts = this.counts.plusFinished(served);
		}
	}

	ExperimentCounts takeCounts() {
		ExperimentCounts taken = this.counts;
		this.counts = ExperimentCounts.none();
		return taken;
	}

}
