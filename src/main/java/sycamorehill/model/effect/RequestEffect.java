package sycamorehill.model.effect;

import java.time.Duration;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.target.ServingTarget;

/**
 * Effects on callers' requests.
 */
public sealed interface RequestEffect extends Effect {

	/**
	 * Sends a request to a target.
	 *
	 * @param request the request
	 * @param attempt identifier of the attempt
	 * @param target the target
	 * @param idempotency how often the request may be sent, and whether its answer is
	 * recorded
	 * @param readTimeout maximum wait for the next byte
	 */
	record StartAttempt(RequestIdentifier request, AttemptIdentifier attempt, ServingTarget target,
			Idempotency idempotency, Duration readTimeout) implements RequestEffect {
	}

	/**
	 * Cancels an attempt at the target and discards the rest of its answer.
	 *
	 * @param attempt the attempt
	 */
	record CancelAttempt(AttemptIdentifier attempt) implements RequestEffect {
	}

	/**
	 * Sends the caller its final answer.
	 *
	 * @param request the request
	 * @param outcome outcome of the request
	 */
	record FinishRequest(RequestIdentifier request, RequestOutcome outcome) implements RequestEffect {
	}

}
