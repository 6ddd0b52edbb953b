package sycamorehill.logic.admission;

import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

import sycamorehill.model.identity.WorkspaceName;

/**
 * The requests that wait for one service, shared out between workspaces by start-time
 * fair queueing: the workspace whose next request has the earliest virtual start goes
 * first, and each request moves its workspace's next start on by its cost over the
 * workspace's weight. A workspace that was idle starts at the present virtual time, so it
 * can't save up.
 *
 * @param flows the workspaces with a virtual start of their own
 * @param order workspaces with waiting requests, by virtual start
 * @param loads workspaces with waiting requests, by weighted waiting cost
 * @param held workspaces that wait for their limit; they are not in the order
 * @param weight sum of the weights of the workspaces with waiting requests
 * @param virtualTime virtual start of the request admitted last
 * @param size requests that wait
 */
record FairQueue(PMap<WorkspaceName, Flow> flows, PSortedSet<WorkspaceRank> order, PSortedSet<WorkspaceRank> loads,
		PSet<WorkspaceName> held, double weight, double virtualTime, int size) {

	static FairQueue empty() {
		return new FairQueue(HashTreePMap.empty(), TreePSet.empty(), TreePSet.empty(), HashTreePSet.empty(), 0, 0, 0);
	}

	/**
	 * Adds a request.
	 * @param waiting the request
	 * @param weight the weight of its workspace
	 * @return the queue
	 */
	FairQueue plus(WaitingRequest waiting, int weight) {
		Flow flow = this.flows.getOrDefault(waiting.workspace(), Flow.idle());
		double start = flow.requests().isEmpty() ? Math.max(flow.start(), this.virtualTime) : flow.start();
		Flow extended = new Flow(flow.requests().plus(waiting.place(), waiting), start, flow.cost() + waiting.cost(),
				Math.max(1, weight));
		return replaceFlow(waiting.workspace(), flow, extended, this.virtualTime, this.size + 1);
	}

	/**
	 * Takes a request out that does not go on to a target.
	 * @param waiting the request
	 * @return the queue
	 */
	FairQueue minus(WaitingRequest waiting) {
		Flow flow = this.flows.get(waiting.workspace());
		if (flow == null || !flow.requests().containsKey(waiting.place())) {
			return this;
		}
		return replaceFlow(waiting.workspace(), flow, flow.without(waiting, flow.start()), this.virtualTime,
				this.size - 1);
	}

	/**
	 * Takes a request out that is admitted.
	 * @param waiting the first request of its workspace
	 * @return the queue
	 */
	FairQueue admit(WaitingRequest waiting) {
		Flow flow = this.flows.get(waiting.workspace());
		double next = flow.start() + waiting.cost() / flow.weight();
		return replaceFlow(waiting.workspace(), flow, flow.without(waiting, next),
				Math.max(this.virtualTime, flow.start()), this.size - 1);
	}

	/**
	 * The first request of a workspace.
	 * @param workspace the workspace
	 * @return its request that waits longest by priority
	 */
	WaitingRequest firstOf(WorkspaceName workspace) {
		return this.flows.get(workspace).requests().firstEntry().getValue();
	}

	/**
	 * The request to give up when there is no room: the last one of the workspace that
	 * has the most waiting for its weight.
	 * @return the request, if any waits
	 */
	Optional<WaitingRequest> lastOfMostLoaded() {
		if (this.loads.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.flows.get(this.loads.last().workspace()).requests().lastEntry().getValue());
	}

	/**
	 * How many requests go ahead of one that a workspace would add now.
	 * @param workspace the workspace
	 * @param workspaceWeight its weight
	 * @return the requests ahead of it, by fair shares
	 */
	double requestsAhead(WorkspaceName workspace, int workspaceWeight) {
		Flow flow = this.flows.getOrDefault(workspace, Flow.idle());
		double totalWeight = flow.requests().isEmpty() ? this.weight + workspaceWeight : this.weight;
		return Math.min(this.size, flow.requests().size() * totalWeight / workspaceWeight);
	}

	/**
	 * The workspace whose turn it is.
	 * @return the workspace, if any waits for nothing but its turn
	 */
	Optional<WorkspaceName> nextWorkspace() {
		return this.order.isEmpty() ? Optional.empty() : Optional.of(this.order.first().workspace());
	}

	/**
	 * Leaves a workspace out until its limit has room again.
	 * @param workspace the workspace
	 * @return the queue
	 */
	FairQueue hold(WorkspaceName workspace) {
		WorkspaceRank rank = new WorkspaceRank(this.flows.get(workspace).start(), workspace);
		return new FairQueue(this.flows, this.order.minus(rank), this.loads, this.held.plus(workspace), this.weight,
				this.virtualTime, this.size);
	}

	/**
	 * Lets a workspace take its turns again.
	 * @param workspace the workspace
	 * @return the queue
	 */
	FairQueue release(WorkspaceName workspace) {
		if (!this.held.contains(workspace)) {
			return this;
		}
		Flow flow = this.flows.get(workspace);
		Flow resumed = new Flow(flow.requests(), Math.max(flow.start(), this.virtualTime), flow.cost(), flow.weight());
		return new FairQueue(this.flows.plus(workspace, resumed),
				this.order.plus(new WorkspaceRank(resumed.start(), workspace)), this.loads, this.held.minus(workspace),
				this.weight, this.virtualTime, this.size);
	}

	private FairQueue replaceFlow(WorkspaceName workspace, Flow before, Flow after, double changedVirtualTime,
			int changedSize) {
		boolean isHeld = this.held.contains(workspace);
		PSortedSet<WorkspaceRank> changedOrder = this.order.minus(new WorkspaceRank(before.start(), workspace));
		PSortedSet<WorkspaceRank> changedLoads = this.loads.minus(new WorkspaceRank(before.load(), workspace));
		double otherWeights = this.weight - (before.requests().isEmpty() ? 0 : before.weight());
		if (after.requests().isEmpty()) {
			PMap<WorkspaceName, Flow> kept = (after.start() > changedVirtualTime) ? this.flows.plus(workspace, after)
					: this.flows.minus(workspace);
			return new FairQueue(kept, changedOrder, changedLoads, this.held.minus(workspace), otherWeights,
					changedVirtualTime, changedSize);
		}
		if (!isHeld) {
			changedOrder = changedOrder.plus(new WorkspaceRank(after.start(), workspace));
		}
		changedLoads = changedLoads.plus(new WorkspaceRank(after.load(), workspace));
		return new FairQueue(this.flows.plus(workspace, after), changedOrder, changedLoads, this.held,
				otherWeights + after.weight(), changedVirtualTime, changedSize);
	}

	/**
	 * One workspace's requests.
	 *
	 * @param requests by place
	 * @param start virtual start of the first
	 * @param cost their cost together
	 * @param weight the workspace's weight
	 */
	record Flow(TreePMap<WaitingRequest.QueuePosition, WaitingRequest> requests, double start, double cost,
			int weight) {

		static Flow idle() {
			return new Flow(TreePMap.empty(), 0, 0, 1);
		}

		double load() {
			return this.cost / this.weight;
		}

		Flow without(WaitingRequest waiting, double nextStart) {
			return new Flow(this.requests.minus(waiting.place()), nextStart, this.cost - waiting.cost(), this.weight);
		}

	}

	/**
	 * A workspace's place in an order.
	 *
	 * @param value what orders
	 * @param workspace the workspace
	 */
	record WorkspaceRank(double value, WorkspaceName workspace) implements Comparable<WorkspaceRank> {

		@Override
		public int compareTo(WorkspaceRank other) {
			int byValue = Double.compare(this.value, other.value);
			return (byValue != 0) ? byValue : this.workspace.compareTo(other.workspace);
		}

	}

}
