package sycamorehill.support;

import sycamorehill.model.policy.Policy;
import sycamorehill.model.policy.TicketPolicy;

/**
 * Policies for tests.
 */
public final class Policies {

	private static final int SHORT = 8;

	private Policies() {
	}

	/**
	 * The standard policy with so few tickets kept that a test soon deletes some.
	 * @return the policy
	 */
	public static Policy shortHistory() {
		Policy policy = Policy.standard();
		TicketPolicy ticket = policy.ticket();
		TicketPolicy shorter = new TicketPolicy(ticket.callTimeout(), ticket.watchWait(), ticket.shortestWatch(),
				ticket.longestUnsynchronised(), ticket.firstBackoff(), ticket.longestBackoff(), ticket.filingPatience(),
				ticket.filingAttempts(), SHORT, SHORT, 2, ticket.keptFilings(), ticket.pageSize(),
				ticket.forcePatience());
		return policy.withTicket(shorter);
	}

}
