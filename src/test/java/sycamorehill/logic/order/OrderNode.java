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
 * Simulates one node: its state, its clock and the tasks that wait while it is paused.
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

	void updateLiveNodes(List<NodeIdentity> live) {
		TreePMap<NodeName, LiveNode> nodes = TreePMap.empty();
		for (NodeIdentity node : live) {
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

	NodeIdentity ownerOf(int shard) {
		return ShardPlacement.owner(shard, new OrderTrialView(this.identity, this.policy, this.liveNodes));
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
	}

	/**
	 * Runs a task in a process of this node. The task waits while the node is paused and
	 * is dropped if the process has ended.
	 * @param incarnation the incarnation of the process
	 * @param task the task
	 */
	void run(NodeIncarnation incarnation, Runnable task) {
		if (!incarnation.equals(incarnation())) {
			return;
		}
		if (this.paused) {
			this.waiting.add(task);
			return;
		}
		task.run();
	}

	void runWaiting() {
		while (!this.paused && !this.waiting.isEmpty()) {
			this.waiting.poll().run();
		}
	}

}
