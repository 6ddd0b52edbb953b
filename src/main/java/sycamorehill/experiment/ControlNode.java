package sycamorehill.experiment;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.logic.membership.MembershipReducer;
import sycamorehill.logic.membership.MembershipState;
import sycamorehill.logic.ticket.TicketReducer;
import sycamorehill.logic.ticket.TicketState;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.RouteQuery;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Ticket;

/**
 * The parts of a node that agree on tickets and on who is alive, as one value, so that
 * their own cost can be told from that of the other parts.
 *
 * @param self who the node is
 * @param policy the tunable bounds
 * @param ticket state of the part ticket
 * @param membership state of the part membership
 */
public record ControlNode(NodeIdentity self, Policy policy, TicketState ticket,
		MembershipState membership) implements NodeView {

	private static final TicketReducer TICKETS = TicketReducer.create();

	private static final MembershipReducer MEMBERSHIP = MembershipReducer.create();

	/**
	 * A fresh node.
	 * @param self who it is
	 * @param policy the tunable bounds
	 * @return the node before its first event
	 */
	public static ControlNode initial(NodeIdentity self, Policy policy) {
		return new ControlNode(self, policy, TicketState.initial(), MembershipState.initial());
	}

	/**
	 * Takes one event in.
	 * @param now monotonic time of this node
	 * @param event what happened
	 * @return the node after it and what is to be done outside
	 */
	public Step<ControlNode> reduce(Instant now, Event event) {
		List<Effect> outside = new ArrayList<>();
		Deque<Event> events = new ArrayDeque<>();
		events.add(event);
		ControlNode node = this;
		while (!events.isEmpty()) {
			Event next = events.poll();
			Step<TicketState> first = TICKETS.reduce(node.ticket, now, next, node);
			node = new ControlNode(node.self, node.policy, first.state(), node.membership);
			Step<MembershipState> second = MEMBERSHIP.reduce(node.membership, now, next, node);
			node = new ControlNode(node.self, node.policy, node.ticket, second.state());
			sort(first.effects(), outside, events);
			sort(second.effects(), outside, events);
		}
		return Step.of(node, outside);
	}

	private static void sort(List<Effect> effects, List<Effect> outside, Deque<Event> events) {
		for (Effect effect : effects) {
			if (effect instanceof NodeEffect.Raise raise) {
				events.add(raise.event());
			}
			else {
				outside.add(effect);
			}
		}
	}

	@Override
	public Optional<DesiredState> desiredState() {
		return this.ticket.log().truth();
	}

	@Override
	public Optional<Ticket> ticket(long number) {
		return this.ticket.log().ticket(number);
	}

	@Override
	public boolean isDelegate() {
		return this.membership.hasDelegateRole();
	}

	@Override
	public LiveNodes liveNodes() {
		return this.membership.liveNodes();
	}

	@Override
	public List<ServingTarget> servingTargets(ServiceName service) {
		return List.of();
	}

	@Override
	public Optional<ServingTarget> chooseTarget(RouteQuery query) {
		return Optional.empty();
	}

	@Override
	public boolean isQuarantined(Fingerprint fingerprint) {
		return false;
	}

	@Override
	public Optional<VmObservation> observation(VmName vm) {
		return Optional.empty();
	}

	@Override
	public Optional<Allocation> allocation() {
		return Optional.empty();
	}

}
