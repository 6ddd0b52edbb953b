package sycamorehill.model.request;

import java.time.Duration;
import java.util.Optional;

/**
 * How one attempt ended, as the traffic thread saw it.
 */
public sealed interface AttemptResult {

	/**
	 * The whole answer arrived, with its end mark.
	 *
	 * @param tokens tokens of the whole answer, 0 for a plain service
	 * @param recorded the answer, if it is to be recorded and is small enough
	 */
	record Completed(int tokens, Optional<RecordedAnswer> recorded) implements AttemptResult {
	}

	/**
	 * The target itself refused before running the request.
	 *
	 * @param leaving whether the target said that it is leaving
	 * @param retryAfter the target's own word on when to come back, zero if it gave none
	 * @param detail what it said
	 */
	record RefusedBeforeRunning(boolean leaving, Duration retryAfter, String detail) implements AttemptResult {
	}

	/**
	 * No byte of the request was handed to the target: the connection could not be made.
	 *
	 * @param detail what happened
	 */
	record NotSent(String detail) implements AttemptResult {
	}

	/**
	 * The target answered that it ran the request and failed.
	 *
	 * @param detail what it said
	 */
	record FailedWhileRunning(String detail) implements AttemptResult {
	}

	/**
	 * The answer broke off: whether the request ran to its end is not known.
	 *
	 * @param connectionLost whether the connection itself was lost, which may mean that
	 * the target died, rather than that nothing came for too long
	 * @param detail what happened
	 */
	record Interrupted(boolean connectionLost, String detail) implements AttemptResult {
	}

	/**
	 * The attempt was given up by the node itself; it says nothing about the target.
	 *
	 * @param detail why
	 */
	record Cancelled(String detail) implements AttemptResult {
	}

}
