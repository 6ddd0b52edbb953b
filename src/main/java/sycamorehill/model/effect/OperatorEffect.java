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
	 * @param call the waiting operator
	 * @param outcome the outcome
	 */
	record AnswerFiling(OperatorCallIdentifier call, FilingOutcome outcome) implements OperatorEffect {
	}

	/**
	 * Answers where a ticket is in force.
	 *
	 * @param call the waiting operator
	 * @param rollout where it is in force
	 */
	record AnswerForce(OperatorCallIdentifier call, TicketRollout rollout) implements OperatorEffect {
	}

}
