package sycamorehill.model.serving;

import java.time.Duration;
import java.util.Optional;

/**
 * How one attempt at a target ended.
 */
public sealed interface AttemptEnd {

	/**
	 * The caller got the target's whole answer.
	 *
	 * @param status the answer's HTTP status
	 * @param longestPause longest pause between two events of a stream, from the first
	 * event to the last, over all its attempts
	 */
	record Delivered(int status, Duration longestPause) implements AttemptEnd {
	}

	/**
	 * The target certainly did not run the request.
	 *
	 * @param cause why not
	 * @param retryAfter when the target asks to come back
	 */
	record NotRun(NotRunCause cause, Optional<Duration> retryAfter) implements AttemptEnd {
	}

	/**
	 * The target ran the request and answered with a failure, which is held back.
	 *
	 * @param status the answer's HTTP status
	 */
	record Failed(int status) implements AttemptEnd {
	}

	/**
	 * Whether the target ran the request isn't known, and the caller has got nothing.
	 *
	 * @param cause what was seen
	 */
	record Unknown(String cause) implements AttemptEnd {
	}

	/**
	 * The answer broke after the caller got part of it.
	 *
	 * @param cause what was seen
	 * @param resumable whether each event that the caller got had a number
	 */
	record Broken(String cause, boolean resumable) implements AttemptEnd {
	}

}
