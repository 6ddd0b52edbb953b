package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pcollections.PMap;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.logic.admission.LimitState.WorkspaceEntry;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.peer.ShareAmounts;
import sycamorehill.model.peer.ShareAsk;
import sycamorehill.model.peer.ShareLoan;
import sycamorehill.model.peer.WorkspaceShare;
import sycamorehill.model.policy.AdmissionPolicy;

/**
 * Moves shares of workspace limits to the nodes that need them. A node whose demand
 * exceeds its owned share asks the coordinator of its data centre. The coordinator asks
 * the nodes of its data centre and the coordinators of the other data centres, and lends
 * on what they lend to it. Asks are repeated while the demand lasts; asks and loans that
 * are not renewed expire.
 */
final class ShareExchange {

	/**
	 * The possible drift between two monotonic clocks during a lease is the lease divided
	 * by this number.
	 */
	private static final long CLOCK_DRIFT_DIVISOR = 100;

	/**
	 * The maximum number of loans for one ask after the first one. Without a bound, two
	 * nodes that each take the other for the coordinator would answer every loan with a
	 * loan and flood the network.
	 */
	private static final int MAXIMUM_FURTHER_LOANS = 4;

	/** Maximum number of asks whose sending times are kept. */
	private static final int MAXIMUM_RECENT_ASKS = 64;

	/**
	 * Fraction of the share lease for a loan that a node makes from its owned share. The
	 * coordinators lend such amounts on for shorter times.
	 */
	private static final double TO_NODE_LEASE_FRACTION = 1.0;

	private static final double TO_DATA_CENTRE_LEASE_FRACTION = 0.75;

	private static final double TO_COORDINATOR_LEASE_FRACTION = 0.5;

	/**
	 * How many times the shortfall is asked for in total, since some nodes have nothing
	 * to spare.
	 */
	private static final double OVER_ASK_FACTOR = 2;

	private final NodeView view;

	private final AdmissionPolicy policy;

	private final Instant now;

	private LimitState state;

	private final List<Effect> effects = new ArrayList<>();

	private ShareExchange(LimitState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
		this.policy = view.policy().admission();
	}

	/**
	 * Asks for the shortfall of every workspace and drops the workspaces that are idle.
	 * @param state the state of the limits
	 * @param now the current time
	 * @param view the view of the node's other parts
	 * @return the updated state and the messages to send
	 */
	static Step<LimitState> handleTick(LimitState state, Instant now, NodeView view) {
		if (state.workspaces().isEmpty()) {
			return Step.of(state);
		}
		ShareExchange exchange = new ShareExchange(state, now, view);
		exchange.askForAllShortfalls();
		return Step.of(exchange.state, exchange.effects);
	}

	/**
	 * Lends what can be spared to a node that asks.
	 * @param state the state of the limits
	 * @param now the current time
	 * @param view the view of the node's other parts
	 * @param borrower the node that asks
	 * @param ask the ask
	 * @return the updated state and the messages to send
	 */
	static Step<LimitState> handleAsk(LimitState state, Instant now, NodeView view, NodeIdentity borrower,
			ShareAsk ask) {
		ShareExchange exchange = new ShareExchange(state, now, view);
		List<WorkspaceShare> loans = new ArrayList<>();
		for (WorkspaceShare want : ask.wants()) {
			exchange.recordAsk(borrower, ask, want);
			exchange.lend(borrower, ask.scope(), want, loans);
		}
		exchange.sendLoan(borrower, ask.number(), ask.scope(), loans);
		if (ask.scope() != ShareAsk.Scope.TO_NODE) {
			exchange.askFor(ask.wants().stream().map(WorkspaceShare::workspace).toList());
		}
		return Step.of(exchange.state, exchange.effects);
	}

	/**
	 * Records a loan from another node and lends it on to the nodes whose asks are
	 * outstanding.
	 * @param state the state of the limits
	 * @param now the current time
	 * @param view the view of the node's other parts
	 * @param lender the node that lends
	 * @param loan the loan
	 * @return the updated state and the messages to send
	 */
	static Step<LimitState> handleLoan(LimitState state, Instant now, NodeView view, NodeIdentity lender,
			ShareLoan loan) {
		Instant askedAt = state.asks().get(loan.number());
		// Ask numbers restart with each incarnation. A loan for an ask of an earlier
		// incarnation would count from a later ask with the same number, and so would
		// expire here after its lender's record.
		if (askedAt == null || !loan.borrower().equals(view.self().incarnation())) {
			return Step.of(state);
		}
		ShareExchange exchange = new ShareExchange(state, now, view);
		long drift = loan.leaseMilliseconds() / CLOCK_DRIFT_DIVISOR;
		Instant end = askedAt.plusMillis(loan.leaseMilliseconds() - drift);
		for (WorkspaceShare share : loan.loans()) {
			WorkspaceEntry entry = state.entry(share.workspace(), now, view);
			ShareAccount account = entry.account().borrow(lender.incarnation(), share.amounts(), end, now);
			exchange.put(share.workspace(), entry.with(account));
			exchange.lendToOutstandingAsks(share.workspace(), lender);
		}
		return Step.of(exchange.state, exchange.effects);
	}

	/**
	 * Asks at once for the shortfall of a workspace, unless an ask for it was just sent.
	 * @param state the state of the limits
	 * @param now the current time
	 * @param view the view of the node's other parts
	 * @param workspace the workspace
	 * @return the updated state and the messages to send
	 */
	static Step<LimitState> askForShortfall(LimitState state, Instant now, NodeView view, WorkspaceName workspace) {
		ShareExchange exchange = new ShareExchange(state, now, view);
		exchange.askFor(List.of(workspace));
		return Step.of(exchange.state, exchange.effects);
	}

	private void put(WorkspaceName workspace, WorkspaceEntry entry) {
		this.state = this.state.with(workspace, entry);
	}

	private void askForAllShortfalls() {
		List<WorkspaceName> active = new ArrayList<>();
		for (WorkspaceName workspace : List.copyOf(this.state.workspaces().keySet())) {
			WorkspaceEntry entry = this.state.entry(workspace, this.now, this.view);
			entry = entry.with(entry.wants().withoutExpired(this.now));
			if (entry.idle(this.now)) {
				this.state = this.state.withWorkspaces(this.state.workspaces().minus(workspace));
			}
			else {
				put(workspace, entry);
				active.add(workspace);
			}
		}
		askFor(active);
	}

	private void askFor(List<WorkspaceName> workspaces) {
		Map<Recipient, List<WorkspaceShare>> asks = new LinkedHashMap<>();
		Coordinators coordinators = null;
		for (WorkspaceName workspace : workspaces) {
			WorkspaceEntry entry = this.state.entry(workspace, this.now, this.view);
			if (!entry.nextAsk().isAfter(this.now) && !shortfall(workspace, entry, true).areNegligible()) {
				coordinators = (coordinators != null) ? coordinators : Coordinators.of(this.view.liveNodes());
				ask(workspace, entry, coordinators, asks);
			}
		}
		asks.forEach(this::send);
	}

	private ShareAmounts shortfall(WorkspaceName workspace, WorkspaceEntry entry, boolean forOtherDataCentres) {
		ShareAmounts wanted = entry.meter().demand().plus(entry.wants().total(forOtherDataCentres));
		return wanted.min(LimitState.limits(workspace, this.view)).minus(entry.account().owned());
	}

	private void ask(WorkspaceName workspace, WorkspaceEntry entry, Coordinators coordinators,
			Map<Recipient, List<WorkspaceShare>> asks) {
		NodeIdentity self = this.view.self();
		NodeIdentity coordinator = coordinators.coordinator(workspace, self.dataCentre()).orElse(self);
		int turn = entry.turn();
		if (!coordinator.incarnation().equals(self.incarnation())) {
			addAsk(asks, coordinator, ShareAsk.Scope.TO_COORDINATOR, workspace, shortfall(workspace, entry, true));
		}
		else {
			turn = askAsCoordinator(workspace, entry, coordinators, asks);
		}
		put(workspace, entry.withNextAsk(this.now.plus(this.policy.shareInterval()), turn));
	}

	private int askAsCoordinator(WorkspaceName workspace, WorkspaceEntry entry, Coordinators coordinators,
			Map<Recipient, List<WorkspaceShare>> asks) {
		NodeIdentity self = this.view.self();
		List<NodeIdentity> remoteCoordinators = coordinators.inOtherDataCentres(workspace, self.dataCentre());
		ShareAmounts localShortfall = shortfall(workspace, entry, false);
		for (NodeIdentity remote : remoteCoordinators) {
			addAsk(asks, remote, ShareAsk.Scope.TO_DATA_CENTRE, workspace,
					localShortfall.times(askFraction(remoteCoordinators.size())));
		}
		List<NodeIdentity> nodes = new ArrayList<>(coordinators.nodes(self.dataCentre()));
		nodes.removeIf((node) -> node.incarnation().equals(self.incarnation()));
		int asked = Math.min(this.policy.shareFanOut(), nodes.size());
		ShareAmounts shortfallPerNode = shortfall(workspace, entry, true).times(askFraction(asked));
		for (int index = 0; index < asked; index++) {
			NodeIdentity node = nodes.get((entry.turn() + index) % nodes.size());
			addAsk(asks, node, ShareAsk.Scope.TO_NODE, workspace, shortfallPerNode);
		}
		return nodes.isEmpty() ? 0 : (entry.turn() + asked) % nodes.size();
	}

	private static double askFraction(int asked) {
		return Math.min(1, OVER_ASK_FACTOR / Math.max(1, asked));
	}

	private static void addAsk(Map<Recipient, List<WorkspaceShare>> asks, NodeIdentity to, ShareAsk.Scope scope,
			WorkspaceName workspace, ShareAmounts amounts) {
		if (!amounts.areNegligible()) {
			asks.computeIfAbsent(new Recipient(to, scope), (recipient) -> new ArrayList<>())
				.add(new WorkspaceShare(workspace, amounts));
		}
	}

	private void send(Recipient recipient, List<WorkspaceShare> wants) {
		this.state = this.state.withAsk(this.now);
		long number = this.state.lastAsk();
		PMap<Long, Instant> recent = this.state.asks().minus(number - MAXIMUM_RECENT_ASKS);
		this.state = this.state.withAsks(recent);
		this.effects.add(new PeerEffect.Send(recipient.node(), new ShareAsk(number, recipient.scope(), wants)));
	}

	private void recordAsk(NodeIdentity borrower, ShareAsk ask, WorkspaceShare want) {
		if (ask.scope() == ShareAsk.Scope.TO_NODE) {
			return;
		}
		WorkspaceEntry entry = this.state.entry(want.workspace(), this.now, this.view);
		OutstandingAsks.OutstandingAsk outstanding = new OutstandingAsks.OutstandingAsk(want.amounts(), ask.number(),
				ask.scope(), this.now.plus(this.policy.shareInterval().multipliedBy(2)), MAXIMUM_FURTHER_LOANS);
		put(want.workspace(), entry.with(entry.wants().plus(borrower, outstanding)));
	}

	private void lend(NodeIdentity borrower, ShareAsk.Scope scope, WorkspaceShare want, List<WorkspaceShare> loans) {
		WorkspaceEntry entry = this.state.entry(want.workspace(), this.now, this.view);
		Instant end = this.now.plus(leaseLength(scope));
		ShareAmounts lendable = entry.account().lendable(borrower.incarnation(), end, this.now);
		ShareAmounts spare = lendable.minus(reserved(entry, scope));
		ShareAmounts amounts = want.amounts().min(spare).min(fairShare(entry, scope, want.amounts()));
		ShareAmounts alreadyLent = entry.account()
			.lentTo(borrower.incarnation(), this.now)
			.min(want.amounts())
			.min(lendable);
		// Requests that run on a borrowed share of the in-flight limit can't be recalled.
		// The borrower keeps that share while it repeats its ask, or more requests would
		// run than the limit allows.
		ShareAmounts loan = new ShareAmounts(amounts.requests(), amounts.tokens(),
				Math.max(amounts.inFlight(), alreadyLent.inFlight()));
		if (loan.areNegligible()) {
			return;
		}
		put(want.workspace(), entry.with(entry.account().lend(borrower.incarnation(), loan, end, this.now)));
		loans.add(new WorkspaceShare(want.workspace(), loan));
	}

	private static ShareAmounts reserved(WorkspaceEntry entry, ShareAsk.Scope scope) {
		ShareAmounts demand = entry.meter().demand();
		return (scope == ShareAsk.Scope.TO_DATA_CENTRE) ? demand.plus(entry.wants().total(false)) : demand;
	}

	private ShareAmounts fairShare(WorkspaceEntry entry, ShareAsk.Scope scope, ShareAmounts want) {
		if (scope != ShareAsk.Scope.TO_COORDINATOR) {
			return want;
		}
		ShareAmounts pool = entry.account()
			.lendable(this.view.self().incarnation(), this.now, this.now)
			.plus(totalLent(entry))
			.minus(entry.meter().demand());
		ShareAmounts total = entry.wants().total(true);
		return new ShareAmounts(proportionalPart(pool.requests(), want.requests(), total.requests()),
				proportionalPart(pool.tokens(), want.tokens(), total.tokens()),
				proportionalPart(pool.inFlight(), want.inFlight(), total.inFlight()));
	}

	private ShareAmounts totalLent(WorkspaceEntry entry) {
		ShareAmounts sum = ShareAmounts.NONE;
		for (LoanSet loans : entry.account().lent().values()) {
			sum = sum.plus(loans.outstandingAt(this.now));
		}
		return sum;
	}

	private static double proportionalPart(double pool, double want, double total) {
		return (total > 0) ? pool * want / total : 0;
	}

	private Duration leaseLength(ShareAsk.Scope scope) {
		double fraction = switch (scope) {
			case TO_NODE -> TO_NODE_LEASE_FRACTION;
			case TO_DATA_CENTRE -> TO_DATA_CENTRE_LEASE_FRACTION;
			case TO_COORDINATOR -> TO_COORDINATOR_LEASE_FRACTION;
		};
		return Duration.ofMillis((long) (this.policy.shareLease().toMillis() * fraction));
	}

	private void sendLoan(NodeIdentity borrower, long number, ShareAsk.Scope scope, List<WorkspaceShare> loans) {
		if (!loans.isEmpty()) {
			this.effects.add(new PeerEffect.Send(borrower,
					new ShareLoan(borrower.incarnation(), number, leaseLength(scope).toMillis(), loans)));
		}
	}

	private void lendToOutstandingAsks(WorkspaceName workspace, NodeIdentity lender) {
		WorkspaceEntry entry = this.state.entry(workspace, this.now, this.view);
		for (Map.Entry<NodeIdentity, OutstandingAsks.OutstandingAsk> outstanding : entry.wants()
			.withoutExpired(this.now)
			.asked()
			.entrySet()) {
			NodeIdentity borrower = outstanding.getKey();
			OutstandingAsks.OutstandingAsk ask = outstanding.getValue();
			ShareAmounts alreadyLent = entry.account().lentTo(borrower.incarnation(), this.now);
			if (ask.answersLeft() > 0 && !borrower.equals(lender)
					&& !ask.amounts().minus(alreadyLent).areNegligible()) {
				WorkspaceEntry current = this.state.entry(workspace, this.now, this.view);
				put(workspace, current.with(current.wants().plus(borrower, ask.answered())));
				List<WorkspaceShare> loans = new ArrayList<>();
				lend(borrower, ask.scope(), new WorkspaceShare(workspace, ask.amounts()), loans);
				sendLoan(borrower, ask.number(), ask.scope(), loans);
			}
		}
	}

	private record Recipient(NodeIdentity node, ShareAsk.Scope scope) {
	}

}
