package sycamorehill.model.policy;

/**
 * All tunable limits and timings of a node.
 *
 * @param admission queues, workspace limits and concurrency
 * @param routing selection of targets
 * @param request attempts, retries and stalls
 * @param health ejection of unhealthy targets
 * @param quarantine content that crashes targets
 * @param order claims of orders
 * @param ticket filing and distribution of tickets
 * @param membership heartbeats
 * @param group group control
 * @param observation observation of target VMs
 */
public record Policy(AdmissionPolicy admission, RoutingPolicy routing, RequestPolicy request, HealthPolicy health,
		QuarantinePolicy quarantine, OrderPolicy order, TicketPolicy ticket, MembershipPolicy membership,
		GroupPolicy group, ObservationPolicy observation) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static Policy standard() {
		return new Policy(AdmissionPolicy.standard(), RoutingPolicy.standard(), RequestPolicy.standard(),
				HealthPolicy.standard(), QuarantinePolicy.standard(), OrderPolicy.standard(), TicketPolicy.standard(),
				MembershipPolicy.standard(), GroupPolicy.standard(), ObservationPolicy.standard());
	}

	/**
	 * Returns this policy with another policy for tickets.
	 * @param ticketPolicy the policy for tickets
	 * @return the changed policy
	 */
	public Policy withTicket(TicketPolicy ticketPolicy) {
		return new Policy(this.admission, this.routing, this.request, this.health, this.quarantine, this.order,
				ticketPolicy, this.membership, this.group, this.observation);
	}

	/**
	 * Returns this policy with another policy for heartbeats.
	 * @param membershipPolicy the policy for heartbeats
	 * @return the changed policy
	 */
	public Policy withMembership(MembershipPolicy membershipPolicy) {
		return new Policy(this.admission, this.routing, this.request, this.health, this.quarantine, this.order,
				this.ticket, membershipPolicy, this.group, this.observation);
	}

	/**
	 * Returns this policy with another policy for order claims.
	 * @param orderPolicy the policy for order claims
	 * @return the changed policy
	 */
	public Policy withOrder(OrderPolicy orderPolicy) {
		return new Policy(this.admission, this.routing, this.request, this.health, this.quarantine, orderPolicy,
				this.ticket, this.membership, this.group, this.observation);
	}

}
