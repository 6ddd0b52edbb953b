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
record FairQueue(PMap<WorkspaceName, Flow> flows, PSortedSet<Rank> order, PSortedSet<Rank> loads,
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
	FairQueue plus(Waiting waiting, int weight) {
		Flow flow = this.flows.getOrDefault(waiting.workspace(), Flow.idle());
		double start = flow.requests().isEmpty() ? Math.max(flow.start(), this.virtualTime) : flow.start();
		Flow longer = new Flow(flow.requests().plus(waiting.place(), waiting), start, flow.cost() + waiting.cost(),
				Math.max(1, weight));
		return replace(waiting.workspace(), flow, longer, this.virtualTime, this.size + 1);
	}

	/**
	 * Takes a request out that does not go on to a target.
	 * @param waiting the request
	 * @return the queue
	 */
	FairQueue minus(Waiting waiting) {
		Flow flow = this.flows.get(waiting.workspace());
		if (flow == null || !flow.requests().containsKey(waiting.place())) {
			return this;
		}
		return replace(waiting.workspace(), flow, flow.without(waiting, flow.start()), this.virtualTime, this.size - 1);
	}

	/**
	 * Takes a request out that is admitted.
	 * @param waiting the first request of its workspace
	 * @return the queue
	 */
	FairQueue admit(Waiting waiting) {
		Flow flow = this.flows.get(waiting.workspace());
		double next = flow.start() + waiting.cost() / flow.weight();
		return replace(waiting.workspace(), flow, flow.without(waiting, next), Math.max(this.virtualTime, flow.start()),
				this.size - 1);
	}

	/**
	 * The first request of a workspace.
	 * @param workspace the workspace
	 * @return its request that waits longest by priority
	 */
	Waiting first(WorkspaceName workspace) {
		return this.flows.get(workspace).requests().firstEntry().getValue();
	}

	/**
	 * The request to give up when there is no room: the last one of the workspace that
	 * has the most waiting for its weight.
	 * @return the request, if any waits
	 */
	Optional<Waiting> lastOfHeaviest() {
		if (this.loads.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.flows.get(this.loads.last().workspace()).requests().lastEntry().getValue());
	}

	/**
	 * How many requests go ahead of one that a workspace would add now.
	 * @param workspace the workspace
	 * @param ofWeight its weight
	 * @return the requests ahead of it, by fair shares
	 */
	double ahead(WorkspaceName workspace, int ofWeight) {
		Flow flow = this.flows.getOrDefault(workspace, Flow.idle());
		double weights = flow.requests().isEmpty() ? this.weight + ofWeight : this.weight;
		return Math.min(this.size, flow.requests().size() * weights / ofWeight);
	}

	/**
	 * The workspace whose turn it is.
	 * @return the workspace, if any waits for nothing but its turn
	 */
	Optional<WorkspaceName> next() {
		return this.order.isEmpty() ? Optional.empty() : Optional.of(this.order.first().workspace());
	}

	/**
	 * Leaves a workspace out until its limit has room again.
	 * @param workspace the workspace
	 * @return the queue
	 */
	FairQueue hold(WorkspaceName workspace) {
		Rank rank = new Rank(this.flows.get(workspace).start(), workspace);
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
		Flow moved = new Flow(flow.requests(), Math.max(flow.start(), this.virtualTime), flow.cost(), flow.weight());
		return new FairQueue(this.flows.plus(workspace, moved), this.order.plus(new Rank(moved.start(), workspace)),
				this.loads, this.held.minus(workspace), this.weight, this.virtualTime, this.size);
	}

	private FairQueue replace(WorkspaceName workspace, Flow before, Flow after, double time, int changedSize) {
		boolean isHeld = this.held.contains(workspace);
		PSortedSet<Rank> ordered = this.order.minus(new Rank(before.start(), workspace));
		PSortedSet<Rank> loaded = this.loads.minus(new Rank(before.load(), workspace));
		double weights = this.weight - (before.requests().isEmpty() ? 0 : before.weight());
		if (after.requests().isEmpty()) {
			PMap<WorkspaceName, Flow> kept = (after.start() > time) ? this.flows.plus(workspace, after)
					: this.flows.minus(workspace);
			return new FairQueue(kept, ordered, loaded, this.held.minus(workspace), weights, time, changedSize);
		}
		if (!isHeld) {
			ordered = ordered.plus(new Rank(after.start(), workspace));
		}
		loaded = loaded.plus(new Rank(after.load(), workspace));
		return new FairQueue(this.flows.plus(workspace, after), ordered, loaded, this.held, weights + after.weight(),
				time, changedSize);
	}

	/**
	 * One workspace's requests.
	 *
	 * @param requests by place
	 * @param start virtual start of the first
	 * @param cost their cost together
	 * @param weight the workspace's weight
	 */
	record Flow(TreePMap<Waiting.Place, Waiting> requests, double start, double cost, int weight) {

		static Flow idle() {
			return new Flow(TreePMap.empty(), 0, 0, 1);
		}

		double load() {
			return this.cost / this.weight;
		}

		Flow without(Waiting waiting, double nextStart) {
			return new Flow(this.requests.minus(waiting.place()), nextStart, this.cost - waiting.cost(), this.weight);
		}

	}

	/**
	 * A workspace's place in an order.
	 *
	 * @param value what orders
	 * @param workspace the workspace
	 */
	record Rank(double value, WorkspaceName workspace) implements Comparable<Rank> {

		@Override
		public int compareTo(Rank other) {
			int byValue = Double.compare(this.value, other.value);
			return (byValue != 0) ? byValue : this.workspace.compareTo(other.workspace);
		}

	}

}
