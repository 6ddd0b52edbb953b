package sycamorehill.model.policy;

/**
 * All tunable bounds of a node.
 *
 * @param admission queues, limits and concurrency
 * @param routing the choice of a target
 * @param request attempts, retries and stalls
 * @param health putting targets aside
 * @param quarantine content that crashes targets
 * @param order claims of orders
 * @param ticket ticket filing and spreading
 * @param membership heartbeats
 * @param group group control
 * @param observation sight of target VMs
 */
public record Policy(AdmissionPolicy admission, RoutingPolicy routing, RequestPolicy request, HealthPolicy health,
		QuarantinePolicy quarantine, OrderPolicy order, TicketPolicy ticket, MembershipPolicy membership,
		GroupPolicy group, ObservationPolicy observation) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static Policy standard() {
		return new Policy(AdmissionPolicy.standard(), RoutingPolicy.standard(), RequestPolicy.standard(),
				HealthPolicy.standard(), QuarantinePolicy.standard(), OrderPolicy.standard(), TicketPolicy.standard(),
				MembershipPolicy.standard(), GroupPolicy.standard(), ObservationPolicy.standard());
	}

	/**
	 * The same policy with other bounds of tickets.
	 * @param ticketPolicy the bounds
	 * @return the policy
	 */
	public Policy withTicket(TicketPolicy ticketPolicy) {
		return new Policy(this.admission, this.routing, this.request, this.health, this.quarantine, this.order,
				ticketPolicy, this.membership, this.group, this.observation);
	}

	/**
	 * The same policy with other bounds of heartbeats.
	 * @param membershipPolicy the bounds
	 * @return the policy
	 */
	public Policy withMembership(MembershipPolicy membershipPolicy) {
		return new Policy(this.admission, this.routing, this.request, this.health, this.quarantine, this.order,
				this.ticket, membershipPolicy, this.group, this.observation);
	}

	/**
	 * The same bounds with other ones for claims.
	 * @param orderPolicy the bounds of claims
	 * @return the changed policy
	 */
	public Policy withOrder(OrderPolicy orderPolicy) {
		return new Policy(this.admission, this.routing, this.request, this.health, this.quarantine, orderPolicy,
				this.ticket, this.membership, this.group, this.observation);
	}

}
