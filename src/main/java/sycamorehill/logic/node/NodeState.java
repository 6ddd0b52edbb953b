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
 * The complete immutable state on which the decisions of a node depend.
 *
 * @param self the identity of the node
 * @param policy the configurable limits
 * @param admission the state of request admission
 * @param routing the state of request routing
 * @param request the state of the requests in progress
 * @param health the state of target health
 * @param quarantine the state of content quarantine
 * @param order the state of the non-idempotent requests (orders) and their claims
 * @param ticket the state of the tickets and the desired state
 * @param membership the state of the cluster membership
 * @param observation the state of the observation of VMs
 * @param group the state of the serving groups
 */
public record NodeState(NodeIdentity self, Policy policy, AdmissionState admission, RoutingState routing,
		RequestState request, HealthState health, QuarantineState quarantine, OrderState order, TicketState ticket,
		MembershipState membership, ObservationState observation, GroupState group) {

	/**
	 * Creates the state of a node that has just started.
	 * @param self the identity of the node
	 * @param policy the configurable limits
	 * @return the state before the first event
	 */
	public static NodeState initial(NodeIdentity self, Policy policy) {
		return new NodeState(self, policy, AdmissionState.initial(), RoutingState.initial(), RequestState.initial(),
				HealthState.initial(), QuarantineState.initial(), OrderState.initial(), TicketState.initial(),
				MembershipState.initial(), ObservationState.initial(), GroupState.initial());
	}

	/**
	 * Returns the desired state that this node has applied.
	 * @return the desired state, empty until it has been read from the platform or a peer
	 */
	public Optional<DesiredState> desiredState() {
		return this.ticket.log().truth();
	}

	/**
	 * Returns the tickets that the node still keeps.
	 * @return the tickets, newest first
	 */
	public List<Ticket> tickets() {
		List<Ticket> tickets = new ArrayList<>(this.ticket.log().tickets().values());
		Collections.reverse(tickets);
		return List.copyOf(tickets);
	}

	/**
	 * Returns whether the load balancer may send new callers: the node has a desired
	 * state and is not stopping.
	 * @return whether the node is ready
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
