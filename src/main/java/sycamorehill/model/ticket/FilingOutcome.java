package sycamorehill.model.ticket;

import java.util.List;

/**
 * What an operator hears after filing a ticket.
 */
public sealed interface FilingOutcome {

	/**
	 * The ticket is accepted.
	 *
	 * @param number its number
	 */
	record Accepted(long number) implements FilingOutcome {
	}

	/**
	 * The ticket is refused: it is not accepted and never will be under this filing.
	 *
	 * @param faults every fault found
	 * @param presentItems the present state of the items that another ticket changed
	 */
	record Refused(List<String> faults, List<AppliedItem> presentItems) implements FilingOutcome {
	}

	/**
	 * The platform's answer is not known: file again with the same filing identifier.
	 *
	 * @param detail what happened
	 */
	record NotKnown(String detail) implements FilingOutcome {
	}

}
