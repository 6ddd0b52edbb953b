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
 * Queues the waiting requests of one service and divides its capacity between workspaces
 * by start-time fair queueing. The workspace whose next request has the earliest virtual
 * start goes first. Each admitted request advances its workspace's virtual start by the
 * request's cost divided by the workspace's weight. A workspace that was idle starts at
 * the current virtual time, so it can't save up capacity.
 *
 * @param flows the workspaces that have waiting requests or a virtual start in the future
 * @param order the workspaces with waiting requests that are not held, by virtual start
 * @param loads the workspaces with waiting requests, by waiting cost divided by weight
 * @param held the workspaces that wait for capacity in their limit; they are left out of
 * the order
 * @param weight the sum of the weights of the workspaces with waiting requests
 * @param virtualTime the latest virtual start of an admitted request
 * @param size the number of waiting requests
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
	 * @return the updated queue
	 */
	FairQueue plus(WaitingRequest waiting, int weight) {
		Flow flow = this.flows.getOrDefault(waiting.workspace(), Flow.idle());
		double start = flow.requests().isEmpty() ? Math.max(flow.start(), this.virtualTime) : flow.start();
		Flow extended = new Flow(flow.requests().plus(waiting.place(), waiting), start, flow.cost() + waiting.cost(),
				Math.max(1, weight));
		return replaceFlow(waiting.workspace(), flow, extended, this.virtualTime, this.size + 1);
	}

	/**
	 * Removes a request without admitting it.
	 * @param waiting the request
	 * @return the updated queue
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
	 * Removes a request that is admitted and charges its cost to its workspace.
	 * @param waiting the first request of its workspace
	 * @return the updated queue
	 */
	FairQueue admit(WaitingRequest waiting) {
		Flow flow = this.flows.get(waiting.workspace());
		double next = flow.start() + waiting.cost() / flow.weight();
		return replaceFlow(waiting.workspace(), flow, flow.without(waiting, next),
				Math.max(this.virtualTime, flow.start()), this.size - 1);
	}

	/**
	 * Returns the first request of a workspace that has waiting requests.
	 * @param workspace the workspace
	 * @return the request with the earliest position
	 */
	WaitingRequest firstOf(WorkspaceName workspace) {
		return this.flows.get(workspace).requests().firstEntry().getValue();
	}

	/**
	 * Returns the request to refuse when the queue is full: the last one of the workspace
	 * with the highest waiting cost for its weight.
	 * @return the request, empty if none is waiting
	 */
	Optional<WaitingRequest> lastOfMostLoaded() {
		if (this.loads.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.flows.get(this.loads.last().workspace()).requests().lastEntry().getValue());
	}

	/**
	 * Estimates how many requests precede one that a workspace would add now.
	 * @param workspace the workspace
	 * @param workspaceWeight the weight of the workspace
	 * @return the number of requests ahead of it by fair queueing
	 */
	double requestsAhead(WorkspaceName workspace, int workspaceWeight) {
		Flow flow = this.flows.getOrDefault(workspace, Flow.idle());
		double totalWeight = flow.requests().isEmpty() ? this.weight + workspaceWeight : this.weight;
		return Math.min(this.size, flow.requests().size() * totalWeight / workspaceWeight);
	}

	/**
	 * Returns the workspace whose request is next.
	 * @return the workspace, empty if every workspace with waiting requests is held
	 */
	Optional<WorkspaceName> nextWorkspace() {
		return this.order.isEmpty() ? Optional.empty() : Optional.of(this.order.first().workspace());
	}

	/**
	 * Holds a workspace back until its limit has capacity again.
	 * @param workspace the workspace
	 * @return the updated queue
	 */
	FairQueue hold(WorkspaceName workspace) {
		WorkspaceRank rank = new WorkspaceRank(this.flows.get(workspace).start(), workspace);
		return new FairQueue(this.flows, this.order.minus(rank), this.loads, this.held.plus(workspace), this.weight,
				this.virtualTime, this.size);
	}

	/**
	 * Lets a workspace that was held back take part again.
	 * @param workspace the workspace
	 * @return the updated queue
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
	 * The waiting requests of one workspace.
	 *
	 * @param requests the requests by position
	 * @param start the virtual start of the first request
	 * @param cost the sum of the costs of the requests
	 * @param weight the weight of the workspace
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
	 * The rank of a workspace in a sorted set.
	 *
	 * @param value the sort key
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
