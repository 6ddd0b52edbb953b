package sycamorehill.logic.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.admission.AdmissionState;
import sycamorehill.logic.group.GroupState;
import sycamorehill.logic.health.HealthState;
import sycamorehill.logic.membership.MembershipState;
import sycamorehill.logic.observation.ObservationState;
import sycamorehill.logic.order.OrderState;
import sycamorehill.logic.quarantine.QuarantineState;
import sycamorehill.logic.request.RequestState;
import sycamorehill.logic.routing.RoutingState;
import sycamorehill.logic.ticket.TicketState;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Ticket;

/**
 * Everything that a node knows and that its decisions rest on: a value.
 *
 * @param self who the node is
 * @param policy the tunable bounds
 * @param admission state of the part admission
 * @param routing state of the part routing
 * @param request state of the part request
 * @param health state of the part health
 * @param quarantine state of the part quarantine
 * @param order state of the part order
 * @param ticket state of the part ticket
 * @param membership state of the part membership
 * @param observation state of the part observation
 * @param group state of the part group
 */
public record NodeState(NodeIdentity self, Policy policy, AdmissionState admission, RoutingState routing,
		RequestState request, HealthState health, QuarantineState quarantine, OrderState order, TicketState ticket,
		MembershipState membership, ObservationState observation, GroupState group) {

	/**
	 * The state of a fresh node.
	 * @param self who it is
	 * @param policy the tunable bounds
	 * @return the state before the first event
	 */
	public static NodeState initial(NodeIdentity self, Policy policy) {
		return new NodeState(self, policy, AdmissionState.initial(), RoutingState.initial(), RequestState.initial(),
				HealthState.initial(), QuarantineState.initial(), OrderState.initial(), TicketState.initial(),
				MembershipState.initial(), ObservationState.initial(), GroupState.initial());
	}

	/**
	 * The state in force, once the node has one.
	 * @return the truth
	 */
	public Optional<DesiredState> desiredState() {
		return this.ticket.log().truth();
	}

	/**
	 * The tickets that the node still keeps.
	 * @return the tickets, newest first
	 */
	public List<Ticket> tickets() {
		List<Ticket> tickets = new ArrayList<>(this.ticket.log().tickets().values());
		Collections.reverse(tickets);
		return List.copyOf(tickets);
	}

	/**
	 * Whether the balancer may send new callers: the node knows the state in force and
	 * does not stop.
	 * @return whether it is ready
	 */
	public boolean ready() {
		return desiredState().isPresent() && this.request.stop().isEmpty();
	}

	NodeState withAdmission(AdmissionState changed) {
		return new NodeState(this.self, this.policy, changed, this.routing, this.request, this.health, this.quarantine,
				this.order, this.ticket, this.membership, this.observation, this.group);
	}

	NodeState withRouting(RoutingState changed) {
		return new NodeState(this.self, this.policy, this.admission, changed, this.request, this.health,
				this.quarantine, this.order, this.ticket, this.membership, this.observation, this.group);
	}

	NodeState withRequest(RequestState changed) {
		return new NodeState(this.self, this.policy, this.admission, this.routing, changed, this.health,
				this.quarantine, this.order, this.ticket, this.membership, this.observation, this.group);
	}

	NodeState withHealth(HealthState changed) {
		return new NodeState(this.self, this.policy, this.admission, this.routing, this.request, changed,
				this.quarantine, this.order, this.ticket, this.membership, this.observation, this.group);
	}

	NodeState withQuarantine(QuarantineState changed) {
		return new NodeState(this.self, this.policy, this.admission, this.routing, this.request, this.health, changed,
				this.order, this.ticket, this.membership, this.observation, this.group);
	}

	NodeState withOrder(OrderState changed) {
		return new NodeState(this.self, this.policy, this.admission, this.routing, this.request, this.health,
				this.quarantine, changed, this.ticket, this.membership, this.observation, this.group);
	}

	NodeState withTicket(TicketState changed) {
		return new NodeState(this.self, this.policy, this.admission, this.routing, this.request, this.health,
				this.quarantine, this.order, changed, this.membership, this.observation, this.group);
	}

	NodeState withMembership(MembershipState changed) {
		return new NodeState(this.self, this.policy, this.admission, this.routing, this.request, this.health,
				this.quarantine, this.order, this.ticket, changed, this.observation, this.group);
	}

	NodeState withObservation(ObservationState changed) {
		return new NodeState(this.self, this.policy, this.admission, this.routing, this.request, this.health,
				this.quarantine, this.order, this.ticket, this.membership, changed, this.group);
	}

	NodeState withGroup(GroupState changed) {
		return new NodeState(this.self, this.policy, this.admission, this.routing, this.request, this.health,
				this.quarantine, this.order, this.ticket, this.membership, this.observation, changed);
	}

}
