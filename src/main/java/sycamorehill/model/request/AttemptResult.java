package sycamorehill.model.request;

import java.time.Duration;
import java.util.Optional;

/**
 * The result of one attempt, as reported by the traffic thread.
 */
public sealed interface AttemptResult {

	/**
	 * The complete answer was received, up to its end marker.
	 *
	 * @param tokens the number of tokens of the complete answer, 0 for a plain service
	 * @param recorded the answer, if it is to be recorded and is small enough
	 */
	record Completed(int tokens, Optional<RecordedAnswer> recorded) implements AttemptResult {
	}

	/**
	 * The target refused the request before running it.
	 *
	 * @param leaving whether the target reported that it is leaving
	 * @param retryAfter the time after which the target asks for a retry, zero if it gave
	 * none
	 * @param detail the message of the target
	 */
	record RefusedBeforeRunning(boolean leaving, Duration retryAfter, String detail) implements AttemptResult {
	}

	/**
	 * No byte of the request was sent to the target, since the connection could not be
	 * established.
	 *
	 * @param detail the cause
	 */
	record NotSent(String detail) implements AttemptResult {
	}

	/**
	 * The target answered that it failed while running the request.
	 *
	 * @param detail the message of the target
	 */
	record FailedWhileRunning(String detail) implements AttemptResult {
	}

	/**
	 * The answer was interrupted: it is unknown whether the request ran to its end.
	 *
	 * @param connectionLost whether the connection was lost, which may mean that the
	 * target crashed. Otherwise, no data was received for too long
	 * @param detail the cause
	 */
	record Interrupted(boolean connectionLost, String detail) implements AttemptResult {
	}

	/**
	 * The node itself cancelled the attempt. The result says nothing about the target.
	 *
	 * @param detail the reason
	 */
	record Cancelled(String detail) implements AttemptResult {
	}

}
