package sycamorehill.model.event;

import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.TicketDraft;

/**
 * Events from operators.
 */
public sealed interface OperatorEvent extends Event {

	/**
	 * An operator files a ticket.
	 *
	 * @param call the operator's waiting call
	 * @param draft the ticket's draft
	 */
	record TicketFiled(OperatorCallIdentifier call, TicketDraft draft) implements OperatorEvent {
	}

	/**
	 * An operator asks where a ticket is in effect.
	 *
	 * @param call the operator's waiting call
	 * @param number number of the ticket
	 */
	record TicketForceAsked(OperatorCallIdentifier call, long number) implements OperatorEvent {
	}

}
