package sycamorehill.model.serving;

import java.time.Duration;
import java.util.Optional;

/**
 * Result of one attempt to send a request to a target.
 */
public sealed interface AttemptEnd {

	/**
	 * Returns whether the request may have arrived at a target.
	 * @return false if no byte of it was sent to one
	 */
	default boolean mayHaveArrived() {
		return true;
	}

	/**
	 * The caller received the target's complete answer.
	 *
	 * @param status HTTP status of the answer
	 * @param longestPause longest pause between two events of a stream, from its first
	 * event to its last, over all attempts
	 * @param connection the connection on which the answer came; empty if another node
	 * received it
	 */
	record Delivered(int status, Duration longestPause, Optional<ConnectionUse> connection) implements AttemptEnd {

		/**
		 * Creates the end of an attempt whose connection is not known.
		 * @param status the HTTP status of the answer
		 * @param longestPause longest pause between two events of a stream
		 */
		public Delivered(int status, Duration longestPause) {
			this(status, longestPause, Optional.empty());
		}

	}

	/**
	 * The target certainly did not run the request.
	 *
	 * @param cause why the request did not run
	 */
	record NotRun(NotRunCause cause) implements AttemptEnd {

		@Override
		public boolean mayHaveArrived() {
			return this.cause == NotRunCause.WRONG_TARGET || this.cause == NotRunCause.REFUSED;
		}

	}

	/**
	 * The target ran the request and answered with a failure, which is not yet forwarded
	 * to the caller.
	 *
	 * @param status HTTP status of the answer
	 */
	record Failed(int status) implements AttemptEnd {
	}

	/**
	 * It is unknown whether the target ran the request. The caller has received nothing.
	 *
	 * @param cause observed error
	 * @param connectionLost whether the connection failed, rather than the answer on it
	 */
	record Unknown(String cause, boolean connectionLost) implements AttemptEnd {
	}

	/**
	 * The answer was interrupted after the caller received part of it.
	 *
	 * @param cause observed error
	 * @param resumable whether every event that the caller received was numbered
	 * @param connectionLost whether the connection failed, rather than the answer on it
	 */
	record Broken(String cause, boolean resumable, boolean connectionLost) implements AttemptEnd {
	}

}
