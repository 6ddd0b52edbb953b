package sycamorehill.model.ticket;

import java.util.List;

import sycamorehill.model.identity.FilingIdentifier;

/**
 * A ticket as an operator files it, before it has a number.
 *
 * @param filing the identifier that the operator chose, with which filing again is safe
 * @param operator the name of the operator
 * @param reason the reason for the change, for information only
 * @param changes the items that the ticket changes
 */
public record TicketDraft(FilingIdentifier filing, String operator, String reason, List<ItemChange> changes) {

	/**
	 * Replaces missing values by empty ones and copies the list of changes.
	 */
	public TicketDraft {
		operator = (operator != null) ? operator : "";
		reason = (reason != null) ? reason : "";
		changes = (changes != null) ? List.copyOf(changes) : List.of();
	}

}
