package sycamorehill.model.ticket;

import java.util.List;

import sycamorehill.model.identity.FilingIdentifier;

/**
 * A ticket as an operator files it, not numbered yet.
 *
 * @param filing chosen by the filer; filing again with it is safe
 * @param operator who files
 * @param reason why, for readers
 * @param changes the items that the ticket sets
 */
public record TicketDraft(FilingIdentifier filing, String operator, String reason, List<ItemChange> changes) {

	/**
	 * Takes a copy of the changes.
	 */
	public TicketDraft {
		operator = (operator != null) ? operator : "";
		reason = (reason != null) ? reason : "";
		changes = (changes != null) ? List.copyOf(changes) : List.of();
	}

}
