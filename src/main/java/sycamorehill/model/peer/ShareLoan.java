package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.NodeIncarnation;

/**
 * Lends parts of workspace limits. The loan counts from the moment before the ask was
 * sent, on the borrower's clock.
 *
 * @param borrower the life of the node that asked: a later life of it has asked other
 * things under the same numbers
 * @param number the number of the ask
 * @param leaseMilliseconds how long it holds
 * @param loans what is lent
 */
public record ShareLoan(NodeIncarnation borrower, long number, long leaseMilliseconds,
		List<WorkspaceShare> loans) implements PeerMessage {

	/**
	 * Takes a copy of the list.
	 */
	public ShareLoan {
		loans = (loans != null) ? List.copyOf(loans) : List.of();
	}

}
