package sycamorehill.model.effect;

import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.TicketRollout;

/**
 * Answers to operators.
 */
public sealed interface OperatorEffect extends Effect {

	/**
	 * Answers the filing of a ticket.
	 *
	 * @param call the operator's waiting call
	 * @param outcome outcome of the filing
	 */
	record AnswerFiling(OperatorCallIdentifier call, FilingOutcome outcome) implements OperatorEffect {
	}

	/**
	 * Answers a question about the rollout of a ticket.
	 *
	 * @param call the operator's waiting call
	 * @param rollout where the ticket is in effect
	 */
	record AnswerForce(OperatorCallIdentifier call, TicketRollout rollout) implements OperatorEffect {
	}

}
