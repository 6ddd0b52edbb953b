package sycamorehill.model.ticket;

import java.util.List;

/**
 * The answer to an operator who filed a ticket.
 */
public sealed interface FilingOutcome {

	/**
	 * The ticket is accepted.
	 *
	 * @param number the number of the ticket
	 */
	record Accepted(long number) implements FilingOutcome {
	}

	/**
	 * The ticket is refused. It is not accepted and never will be under this filing
	 * identifier.
	 *
	 * @param faults all faults found in the ticket
	 * @param presentItems the current state of the items that another ticket has changed
	 */
	record Refused(List<String> faults, List<AppliedItem> presentItems) implements FilingOutcome {
	}

	/**
	 * It is unknown whether the platform stored the ticket. The operator should file
	 * again with the same filing identifier.
	 *
	 * @param detail the cause
	 */
	record NotKnown(String detail) implements FilingOutcome {
	}

}
