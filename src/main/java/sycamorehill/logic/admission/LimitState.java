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
 * The workspace limits as this node holds them: an entry for each workspace that was
 * active of late.
 * <p>
 * A node that restarts has forgotten what its earlier life lent, and the borrowers go on
 * using it: callers would get more than the limit for as long as the loans hold. So a
 * fresh node owns nothing until the longest loan that it could have made has ended.
 *
 * @param ownsFrom when the node's own part may be used
 * @param divisor what the limits are divided by for one node's own part, 0 if it owns
 * none
 * @param divisorOf the truth that the divisor was taken from
 * @param workspaces by name
 * @param asks when the asks of this life were sent, by number
 * @param lastAsk number of the last one
 */
record LimitState(Instant ownsFrom, int divisor, long divisorOf, PMap<WorkspaceName, WorkspaceEntry> workspaces,
		PMap<Long, Instant> asks, long lastAsk) {

	static LimitState initial() {
		return new LimitState(Instant.MAX, 0, -1, HashTreePMap.empty(), HashTreePMap.empty(), 0);
	}

	LimitState started(Instant now, NodeView view) {
		return new LimitState(now.plus(view.policy().admission().shareLease()), this.divisor, this.divisorOf,
				this.workspaces, this.asks, this.lastAsk);
	}

	/**
	 * Takes the truth in force in: counts the data centres that tickets name.
	 * @param view what the other parts know
	 * @return the state
	 */
	LimitState withCurrentDivisor(NodeView view) {
		Optional<DesiredState> truth = view.truth();
		if (truth.isEmpty() || truth.get().number() == this.divisorOf) {
			return this;
		}
		PMap<DataCentreName, Boolean> dataCentres = TicketedDataCentres.of(truth.get());
		int newDivisor = dataCentres.containsKey(view.self().dataCentre())
				? dataCentres.size() * view.policy().admission().nodesPerDataCentre() : 0;
		return new LimitState(this.ownsFrom, newDivisor, truth.get().number(), this.workspaces, this.asks,
				this.lastAsk);
	}

	/**
	 * The entry of a workspace, brought up to date.
	 * @param workspace the workspace
	 * @param now the time
	 * @param view what the other parts know
	 * @return the entry
	 */
	WorkspaceEntry entry(WorkspaceName workspace, Instant now, NodeView view) {
		WorkspaceEntry entry = this.workspaces.get(workspace);
		WorkspaceEntry known = (entry != null) ? entry : WorkspaceEntry.fresh(now);
		return known.updatedTo(now, owned(workspace, now, view));
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
	 * The whole limits of a workspace.
	 * @param workspace the workspace
	 * @param view what the other parts know
	 * @return the limits, nothing if no ticket names the workspace
	 */
	static ShareAmounts limits(WorkspaceName workspace, NodeView view) {
		return view.truth()
			.map((truth) -> truth.items().get(ItemKey.of(ItemKind.WORKSPACE, workspace.value())))
			.map((found) -> (WorkspaceItem) found.item())
			.map((item) -> new ShareAmounts(item.requestsPerSecond(), item.tokensPerSecond(), item.inFlight()))
			.orElse(ShareAmounts.NONE);
	}

	/**
	 * One workspace.
	 *
	 * @param account this node's part of the limits
	 * @param meter what is used and asked for here
	 * @param wants what other nodes want and did not get
	 * @param nextAsk when to ask others again
	 * @param turn where the coordinator goes on asking
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
