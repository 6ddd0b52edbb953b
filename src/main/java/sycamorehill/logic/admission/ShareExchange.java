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
import sycamorehill.logic.admission.LimitState.Entry;
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
 * How shares follow demand. A node that wants more than it owns asks its data centre's
 * coordinator; that one asks its data centre's nodes and the other data centres'
 * coordinators, and passes on what they lend. Everything is asked for again and again
 * while it is wanted, and lapses otherwise.
 */
final class ShareExchange {

	/** What two monotonic clocks may drift apart, as a part of the lease. */
	private static final long DRIFT_PART = 100;

	/**
	 * How often one ask is answered after the first answer. Without a bound, two nodes
	 * that each take the other for the coordinator would answer every loan with a loan,
	 * and fill the network with messages.
	 */
	private static final int LATER_ANSWERS = 4;

	private static final int KEPT_ASKS = 64;

	/** A loan from a node's own part; what it carries is lent on for less. */
	private static final double FULL_LEASE = 1.0;

	private static final double DATA_CENTRE_LEASE = 0.75;

	private static final double NODE_LEASE = 0.5;

	/** How much more is asked for in all than is wanted: some have nothing to spare. */
	private static final double OVER_ASK = 2;

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
	 * Asks for what is missing, and forgets workspaces that are idle.
	 * @param state the limits
	 * @param now the time
	 * @param view what the other parts know
	 * @return the limits after it and the messages
	 */
	static Step<LimitState> tick(LimitState state, Instant now, NodeView view) {
		if (state.workspaces().isEmpty()) {
			return Step.of(state);
		}
		ShareExchange exchange = new ShareExchange(state, now, view);
		exchange.askForMissing();
		return Step.of(exchange.state, exchange.effects);
	}

	/**
	 * Lends what can be spared.
	 * @param state the limits
	 * @param now the time
	 * @param view what the other parts know
	 * @param from who asks
	 * @param ask what for
	 * @return the limits after it and the answer
	 */
	static Step<LimitState> asked(LimitState state, Instant now, NodeView view, NodeIdentity from, ShareAsk ask) {
		ShareExchange exchange = new ShareExchange(state, now, view);
		List<WorkspaceShare> loans = new ArrayList<>();
		for (WorkspaceShare want : ask.wants()) {
			exchange.remember(from, ask, want);
			exchange.lend(from, ask.scope(), want, loans);
		}
		exchange.answer(from, ask.number(), ask.scope(), loans);
		if (ask.scope() != ShareAsk.Scope.TO_NODE) {
			exchange.askFor(ask.wants().stream().map(WorkspaceShare::workspace).toList());
		}
		return Step.of(exchange.state, exchange.effects);
	}

	/**
	 * Enters what another node lends and passes it on to those who wait for it.
	 * @param state the limits
	 * @param now the time
	 * @param view what the other parts know
	 * @param from who lends
	 * @param loan what
	 * @return the limits after it and what is passed on
	 */
	static Step<LimitState> lent(LimitState state, Instant now, NodeView view, NodeIdentity from, ShareLoan loan) {
		Instant askedAt = state.asks().get(loan.number());
		// A loan for an ask of this node's earlier life would count from a later ask of
		// the same number, and so longer than its lender counts it.
		if (askedAt == null || !loan.borrower().equals(view.self().incarnation())) {
			return Step.of(state);
		}
		ShareExchange exchange = new ShareExchange(state, now, view);
		long drift = loan.leaseMilliseconds() / DRIFT_PART;
		Instant end = askedAt.plusMillis(loan.leaseMilliseconds() - drift);
		for (WorkspaceShare share : loan.loans()) {
			Entry entry = state.entry(share.workspace(), now, view);
			ShareAccount account = entry.account().borrow(from.incarnation(), share.amounts(), end, now);
			exchange.put(share.workspace(), entry.with(account));
			exchange.passOn(share.workspace(), from);
		}
		return Step.of(exchange.state, exchange.effects);
	}

	/**
	 * Asks at once for what a workspace misses, unless it was just asked for.
	 * @param state the limits
	 * @param now the time
	 * @param view what the other parts know
	 * @param workspace the workspace
	 * @return the limits after it and the messages
	 */
	static Step<LimitState> missed(LimitState state, Instant now, NodeView view, WorkspaceName workspace) {
		ShareExchange exchange = new ShareExchange(state, now, view);
		exchange.askFor(List.of(workspace));
		return Step.of(exchange.state, exchange.effects);
	}

	private void put(WorkspaceName workspace, Entry entry) {
		this.state = this.state.with(workspace, entry);
	}

	private void askForMissing() {
		List<WorkspaceName> active = new ArrayList<>();
		for (WorkspaceName workspace : List.copyOf(this.state.workspaces().keySet())) {
			Entry entry = this.state.entry(workspace, this.now, this.view);
			entry = entry.with(entry.wants().at(this.now));
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
			Entry entry = this.state.entry(workspace, this.now, this.view);
			if (!entry.nextAsk().isAfter(this.now) && !missing(workspace, entry, true).negligible()) {
				coordinators = (coordinators != null) ? coordinators : Coordinators.of(this.view.liveNodes());
				ask(workspace, entry, coordinators, asks);
			}
		}
		asks.forEach(this::send);
	}

	private ShareAmounts missing(WorkspaceName workspace, Entry entry, boolean forOtherDataCentres) {
		ShareAmounts wanted = entry.meter().demand().plus(entry.wants().total(forOtherDataCentres));
		return wanted.min(LimitState.limits(workspace, this.view)).minus(entry.account().owned());
	}

	private void ask(WorkspaceName workspace, Entry entry, Coordinators coordinators,
			Map<Recipient, List<WorkspaceShare>> asks) {
		NodeIdentity self = this.view.self();
		NodeIdentity coordinator = coordinators.of(workspace, self.dataCentre()).orElse(self);
		int turn = entry.turn();
		if (!coordinator.incarnation().equals(self.incarnation())) {
			add(asks, coordinator, ShareAsk.Scope.TO_COORDINATOR, workspace, missing(workspace, entry, true));
		}
		else {
			turn = askAsCoordinator(workspace, entry, coordinators, asks);
		}
		put(workspace, entry.asked(this.now.plus(this.policy.shareInterval()), turn));
	}

	private int askAsCoordinator(WorkspaceName workspace, Entry entry, Coordinators coordinators,
			Map<Recipient, List<WorkspaceShare>> asks) {
		NodeIdentity self = this.view.self();
		List<NodeIdentity> others = coordinators.elsewhere(workspace, self.dataCentre());
		ShareAmounts own = missing(workspace, entry, false);
		for (NodeIdentity other : others) {
			add(asks, other, ShareAsk.Scope.TO_DATA_CENTRE, workspace, own.times(part(others.size())));
		}
		List<NodeIdentity> nodes = new ArrayList<>(coordinators.nodes(self.dataCentre()));
		nodes.removeIf((node) -> node.incarnation().equals(self.incarnation()));
		int asked = Math.min(this.policy.shareFanOut(), nodes.size());
		ShareAmounts all = missing(workspace, entry, true).times(part(asked));
		for (int place = 0; place < asked; place++) {
			NodeIdentity node = nodes.get((entry.turn() + place) % nodes.size());
			add(asks, node, ShareAsk.Scope.TO_NODE, workspace, all);
		}
		return nodes.isEmpty() ? 0 : (entry.turn() + asked) % nodes.size();
	}

	private static double part(int asked) {
		return Math.min(1, OVER_ASK / Math.max(1, asked));
	}

	private static void add(Map<Recipient, List<WorkspaceShare>> asks, NodeIdentity to, ShareAsk.Scope scope,
			WorkspaceName workspace, ShareAmounts amounts) {
		if (!amounts.negligible()) {
			asks.computeIfAbsent(new Recipient(to, scope), (recipient) -> new ArrayList<>())
				.add(new WorkspaceShare(workspace, amounts));
		}
	}

	private void send(Recipient recipient, List<WorkspaceShare> wants) {
		this.state = this.state.withAsk(this.now);
		long number = this.state.lastAsk();
		PMap<Long, Instant> recent = this.state.asks().minus(number - KEPT_ASKS);
		this.state = this.state.withAsks(recent);
		this.effects.add(new PeerEffect.Send(recipient.node(), new ShareAsk(number, recipient.scope(), wants)));
	}

	private void remember(NodeIdentity from, ShareAsk ask, WorkspaceShare want) {
		if (ask.scope() == ShareAsk.Scope.TO_NODE) {
			return;
		}
		Entry entry = this.state.entry(want.workspace(), this.now, this.view);
		Wants.Want remembered = new Wants.Want(want.amounts(), ask.number(), ask.scope(),
				this.now.plus(this.policy.shareInterval().multipliedBy(2)), LATER_ANSWERS);
		put(want.workspace(), entry.with(entry.wants().plus(from, remembered)));
	}

	private void lend(NodeIdentity to, ShareAsk.Scope scope, WorkspaceShare want, List<WorkspaceShare> loans) {
		Entry entry = this.state.entry(want.workspace(), this.now, this.view);
		Instant end = this.now.plus(lease(scope));
		ShareAmounts most = entry.account().lendable(to.incarnation(), end, this.now);
		ShareAmounts spare = most.minus(kept(entry, scope));
		ShareAmounts amounts = want.amounts().min(spare).min(fairPart(entry, scope, want.amounts()));
		ShareAmounts held = entry.account().lentTo(to.incarnation(), this.now).min(want.amounts()).min(most);
		// Requests that run on a borrowed part of the in-flight limit can't be called
		// back: while their node asks for it, it keeps it, or more would run than the
		// limit.
		ShareAmounts loan = new ShareAmounts(amounts.requests(), amounts.tokens(),
				Math.max(amounts.inFlight(), held.inFlight()));
		if (loan.negligible()) {
			return;
		}
		put(want.workspace(), entry.with(entry.account().lend(to.incarnation(), loan, end, this.now)));
		loans.add(new WorkspaceShare(want.workspace(), loan));
	}

	private static ShareAmounts kept(Entry entry, ShareAsk.Scope scope) {
		ShareAmounts own = entry.meter().demand();
		return (scope == ShareAsk.Scope.TO_DATA_CENTRE) ? own.plus(entry.wants().total(false)) : own;
	}

	private ShareAmounts fairPart(Entry entry, ShareAsk.Scope scope, ShareAmounts want) {
		if (scope != ShareAsk.Scope.TO_COORDINATOR) {
			return want;
		}
		ShareAmounts pool = entry.account()
			.lendable(this.view.self().incarnation(), this.now, this.now)
			.plus(lentToAll(entry))
			.minus(entry.meter().demand());
		ShareAmounts all = entry.wants().total(true);
		return new ShareAmounts(part(pool.requests(), want.requests(), all.requests()),
				part(pool.tokens(), want.tokens(), all.tokens()),
				part(pool.inFlight(), want.inFlight(), all.inFlight()));
	}

	private ShareAmounts lentToAll(Entry entry) {
		ShareAmounts sum = ShareAmounts.NONE;
		for (Leases leases : entry.account().lent().values()) {
			sum = sum.plus(leases.through(this.now));
		}
		return sum;
	}

	private static double part(double pool, double want, double all) {
		return (all > 0) ? pool * want / all : 0;
	}

	private Duration lease(ShareAsk.Scope scope) {
		double part = switch (scope) {
			case TO_NODE -> FULL_LEASE;
			case TO_DATA_CENTRE -> DATA_CENTRE_LEASE;
			case TO_COORDINATOR -> NODE_LEASE;
		};
		return Duration.ofMillis((long) (this.policy.shareLease().toMillis() * part));
	}

	private void answer(NodeIdentity to, long number, ShareAsk.Scope scope, List<WorkspaceShare> loans) {
		if (!loans.isEmpty()) {
			this.effects
				.add(new PeerEffect.Send(to, new ShareLoan(to.incarnation(), number, lease(scope).toMillis(), loans)));
		}
	}

	private void passOn(WorkspaceName workspace, NodeIdentity lender) {
		Entry entry = this.state.entry(workspace, this.now, this.view);
		for (Map.Entry<NodeIdentity, Wants.Want> waiting : entry.wants().at(this.now).asked().entrySet()) {
			NodeIdentity node = waiting.getKey();
			Wants.Want want = waiting.getValue();
			ShareAmounts has = entry.account().lentTo(node.incarnation(), this.now);
			if (want.answersLeft() > 0 && !node.equals(lender) && !want.amounts().minus(has).negligible()) {
				Entry current = this.state.entry(workspace, this.now, this.view);
				put(workspace, current.with(current.wants().plus(node, want.answered())));
				List<WorkspaceShare> loans = new ArrayList<>();
				lend(node, want.scope(), new WorkspaceShare(workspace, want.amounts()), loans);
				answer(node, want.number(), want.scope(), loans);
			}
		}
	}

	private record Recipient(NodeIdentity node, ShareAsk.Scope scope) {
	}

}
