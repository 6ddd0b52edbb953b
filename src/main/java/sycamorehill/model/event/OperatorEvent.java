package sycamorehill.model.event;

import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.TicketDraft;

/**
 * Events of operators.
 */
public sealed interface OperatorEvent extends Event {

	/**
	 * An operator files a ticket.
	 *
	 * @param call the waiting operator
	 * @param draft what is filed
	 */
	record TicketFiled(OperatorCallIdentifier call, TicketDraft draft) implements OperatorEvent {
	}

	/**
	 * An operator asks where a ticket is in force.
	 *
	 * @param call the waiting operator
	 * @param number the ticket
	 */
	record TicketForceAsked(OperatorCallIdentifier call, long number) implements OperatorEvent {
	}

}
