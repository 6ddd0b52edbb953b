package sycamorehill.gateway;

import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.request.RequestOutcome;

/**
 * One caller's request on the traffic threads: it sends what it is told to send and
 * passes on what comes. Each method may be called from any thread.
 */
interface Exchange {

	/**
	 * Sends the request to a target.
	 * @param effect what to send where
	 */
	void start(RequestEffect.StartAttempt effect);

	/**
	 * Drops an attempt.
	 * @param attempt the attempt
	 */
	void cancel(AttemptIdentifier attempt);

	/**
	 * Gives the caller its final answer.
	 * @param outcome the outcome
	 */
	void finish(RequestOutcome outcome);

}
