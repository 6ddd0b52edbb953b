package sycamorehill.logic.admission;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.logic.NodeView;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.peer.ShareAmounts;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ItemKind;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * The workspace limits on this node, with an entry for each recently active workspace.
 * <p>
 * A restarted node does not know what its earlier incarnation lent, and the borrowers
 * continue to use it. The callers would get more than the limit until those loans expire.
 * A node therefore owns nothing until the longest loan of an earlier incarnation has
 * expired.
 *
 * @param ownsFrom when the node may start to use its owned share
 * @param divisor the number of parts that each limit is divided into, one of which this
 * node owns; 0 if it owns none
 * @param divisorOf the number of the desired state that the divisor was computed from
 * @param workspaces the entries by workspace
 * @param asks the sending times of the recent asks of this incarnation, by number
 * @param lastAsk the number of the last ask
 */
record LimitState(Instant ownsFrom, int divisor, long divisorOf, PMap<WorkspaceName, WorkspaceEntry> workspaces,
		PMap<Long, Instant> asks, long lastAsk) {

	static LimitState initial() {
		return new LimitState(Instant.MAX, 0, -1, HashTreePMap.empty(), HashTreePMap.empty(), 0);
	}

	LimitState withOwnershipDelayed(Instant now, NodeView view) {
		return new LimitState(now.plus(view.policy().admission().shareLease()), this.divisor, this.divisorOf,
				this.workspaces, this.asks, this.lastAsk);
	}

	/**
	 * Updates the divisor from the desired state in effect, by counting the data centres
	 * that tickets name.
	 * @param view the view of the node's other parts
	 * @return the updated state
	 */
	LimitState withCurrentDivisor(NodeView view) {
		Optional<DesiredState> desiredState = view.desiredState();
		if (desiredState.isEmpty() || desiredState.get().number() == this.divisorOf) {
			return this;
		}
		PMap<DataCentreName, Boolean> dataCentres = TicketedDataCentres.of(desiredState.get());
		int newDivisor = dataCentres.containsKey(view.self().dataCentre())
				? dataCentres.size() * view.policy().admission().nodesPerDataCentre() : 0;
		return new LimitState(this.ownsFrom, newDivisor, desiredState.get().number(), this.workspaces, this.asks,
				this.lastAsk);
	}

	/**
	 * Returns the entry of a workspace, updated to the current time.
	 * @param workspace the workspace
	 * @param now the current time
	 * @param view the view of the node's other parts
	 * @return the entry, a new one if the workspace has none
	 */
	WorkspaceEntry entry(WorkspaceName workspace, Instant now, NodeView view) {
		WorkspaceEntry entry = this.workspaces.get(workspace);
		WorkspaceEntry current = (entry != null) ? entry : WorkspaceEntry.fresh(now);
		return current.updatedTo(now, owned(workspace, now, view));
	}

	LimitState with(WorkspaceName workspace, WorkspaceEntry entry) {
		return withWorkspaces(this.workspaces.plus(workspace, entry));
	}

	LimitState withWorkspaces(PMap<WorkspaceName, WorkspaceEntry> changed) {
		return new LimitState(this.ownsFrom, this.divisor, this.divisorOf, changed, this.asks, this.lastAsk);
	}

	LimitState withAsk(Instant now) {
		return new LimitState(this.ownsFrom, this.divisor, this.divisorOf, this.workspaces,
				this.asks.plus(this.lastAsk + 1, now), this.lastAsk + 1);
	}

	LimitState withAsks(PMap<Long, Instant> changed) {
		return new LimitState(this.ownsFrom, this.divisor, this.divisorOf, this.workspaces, changed, this.lastAsk);
	}

	private ShareAmounts owned(WorkspaceName workspace, Instant now, NodeView view) {
		if (this.divisor == 0 || now.isBefore(this.ownsFrom)) {
			return ShareAmounts.NONE;
		}
		return limits(workspace, view).times(1.0 / this.divisor);
	}

	/**
	 * Returns the full limits of a workspace.
	 * @param workspace the workspace
	 * @param view the view of the node's other parts
	 * @return the limits, all zero if no ticket names the workspace
	 */
	static ShareAmounts limits(WorkspaceName workspace, NodeView view) {
		return view.desiredState()
			.map((desiredState) -> desiredState.items().get(ItemKey.of(ItemKind.WORKSPACE, workspace.value())))
			.map((found) -> (WorkspaceItem) found.item())
			.map((item) -> new ShareAmounts(item.requestsPerSecond(), item.tokensPerSecond(), item.inFlight()))
			.orElse(ShareAmounts.NONE);
	}

	/**
	 * The limits of one workspace on this node.
	 *
	 * @param account the node's share of the limits
	 * @param meter the usage and demand on this node
	 * @param wants the outstanding asks of other nodes
	 * @param nextAsk when this node may ask others again
	 * @param turn the index of the node that the coordinator asks next
	 */
	record WorkspaceEntry(ShareAccount account, UsageMeter meter, OutstandingAsks wants, Instant nextAsk, int turn) {

		static WorkspaceEntry fresh(Instant now) {
			return new WorkspaceEntry(ShareAccount.empty(), UsageMeter.fresh(now), OutstandingAsks.none(), now, 0);
		}

		WorkspaceEntry updatedTo(Instant now, ShareAmounts owned) {
			ShareAccount current = this.account.withOwned(owned, now);
			return new WorkspaceEntry(current, this.meter.updatedTo(now, current.usable()), this.wants, this.nextAsk,
					this.turn);
		}

		WorkspaceEntry with(ShareAccount changed) {
			return new WorkspaceEntry(changed, this.meter, this.wants, this.nextAsk, this.turn);
		}

		WorkspaceEntry with(UsageMeter changed) {
			return new WorkspaceEntry(this.account, changed, this.wants, this.nextAsk, this.turn);
		}

		WorkspaceEntry with(OutstandingAsks changed) {
			return new WorkspaceEntry(this.account, this.meter, changed, this.nextAsk, this.turn);
		}

		WorkspaceEntry withNextAsk(Instant next, int nextTurn) {
			return new WorkspaceEntry(this.account, this.meter, this.wants, next, nextTurn);
		}

		boolean admits() {
			return this.meter.admits(this.account.usable());
		}

		boolean idle(Instant now) {
			return this.meter.idle() && this.wants.isEmpty() && !this.account.holdsLoans(now);
		}

	}

}
