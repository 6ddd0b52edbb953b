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
	 * @param attempt the attempt
	 * @param target where to
	 * @param handling whether the answer is to be recorded
	 * @param readTimeout the longest wait for the next byte
	 */
	record StartAttempt(RequestIdentifier request, AttemptIdentifier attempt, ServingTarget target,
			Idempotency handling, Duration readTimeout) implements RequestEffect {
	}

	/**
	 * Drops what still comes of an attempt and cancels it at the target.
	 *
	 * @param attempt the attempt
	 */
	record CancelAttempt(AttemptIdentifier attempt) implements RequestEffect {
	}

	/**
	 * Gives the caller its final answer.
	 *
	 * @param request the request
	 * @param outcome the outcome
	 */
	record FinishRequest(RequestIdentifier request, RequestOutcome outcome) implements RequestEffect {
	}

}
