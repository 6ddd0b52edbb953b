package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.NodeIncarnation;

/**
 * Lends shares of workspace limits. The lease of the loan starts just before the ask was
 * sent, measured by the clock of the borrower.
 *
 * @param borrower the incarnation of the node that asked. A later incarnation of the node
 * reuses the same numbers for other asks
 * @param number the number of the {@link ShareAsk}
 * @param leaseMilliseconds how long the loan is valid, in milliseconds
 * @param loans the shares that are lent
 */
public record ShareLoan(NodeIncarnation borrower, long number, long leaseMilliseconds,
		List<WorkspaceShare> loans) implements PeerMessage {

	/**
	 * Copies the list.
	 */
	public ShareLoan {
		loans = (loans != null) ? List.copyOf(loans) : List.of();
	}

}
