package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.pcollections.TreePMap;

import sycamorehill.experiment.OrderTrialView;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.event.Event;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.OrderPolicy;
import sycamorehill.model.policy.Policy;

/**
 * One node of a history: a state, a clock of its own and what waits while it is paused.
 */
final class OrderNode {

	private static final OrderReducer REDUCER = OrderReducer.create();

	private final NodeName name;

	private final Duration clockOffset;

	private final Policy policy;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private NodeIdentity identity;

	private OrderState state = OrderState.initial();

	private LiveNodes liveNodes = LiveNodes.empty();

	private boolean paused;

	OrderNode(int index, Duration clockOffset, OrderPolicy policy) {
		this.name = NodeName.of("n" + index);
		this.clockOffset = clockOffset;
		this.policy = Policy.standard().withOrder(policy);
		restart(1);
	}

	NodeIdentity identity() {
		return this.identity;
	}

	NodeIncarnation incarnation() {
		return this.identity.incarnation();
	}

	OrderState state() {
		return this.state;
	}

	boolean paused() {
		return this.paused;
	}

	Instant clock(Instant now) {
		return now.plus(this.clockOffset);
	}

	void restart(long incarnation) {
		this.identity = new NodeIdentity(NodeIncarnation.of(this.name, incarnation), DataCentreName.of("here"),
				Address.of("10.0.0.1", 1000));
		this.state = OrderState.initial();
		this.waiting.clear();
		this.paused = false;
	}

	void see(List<NodeIdentity> alive) {
		TreePMap<NodeName, LiveNode> nodes = TreePMap.empty();
		for (NodeIdentity node : alive) {
			nodes = nodes.plus(node.incarnation().node(), new LiveNode(node, false, Instant.EPOCH));
		}
		this.liveNodes = new LiveNodes(nodes);
	}

	List<Effect> reduce(Instant now, Event event) {
		Step<OrderState> step = REDUCER.reduce(this.state, clock(now), event,
				new OrderTrialView(this.identity, this.policy, this.liveNodes));
		this.state = step.state();
		return step.effects();
	}

	NodeIdentity keeperOf(int shard) {
		return ShardPlacement.keeper(shard, new OrderTrialView(this.identity, this.policy, this.liveNodes));
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
	}

	/**
	 * Runs something in this process, or later if it is paused, or never if it has died.
	 * @param incarnation the process that it belongs to
	 * @param work what runs
	 */
	void run(NodeIncarnation incarnation, Runnable work) {
		if (!incarnation.equals(incarnation())) {
			return;
		}
		if (this.paused) {
			this.waiting.add(work);
			return;
		}
		work.run();
	}

	void runWaiting() {
		while (!this.paused && !this.waiting.isEmpty()) {
			this.waiting.poll().run();
		}
	}

}
