package sycamorehill.entry;

import java.time.Duration;

import sycamorehill.model.serving.RequestKind;

/**
 * Tells which idle connections a request may use.
 */
final class ConnectionReuse {

	/**
	 * If the target closes the connection while a request is in transit that may run only
	 * once, the outcome is unknown.
	 */
	private static final Duration MAXIMUM_IDLE_TIME_NON_IDEMPOTENT = Duration.ofMillis(400);

	private static final Duration MAXIMUM_IDLE_TIME_IDEMPOTENT = Duration.ofMinutes(10);

	private ConnectionReuse() {
	}

	/**
	 * Returns the longest time that a connection may have been idle.
	 * @param kind the kind of the request
	 * @return the time
	 */
	static Duration maximumIdleTime(RequestKind kind) {
		return kind.isRepeatable() ? MAXIMUM_IDLE_TIME_IDEMPOTENT : MAXIMUM_IDLE_TIME_NON_IDEMPOTENT;
	}

}
