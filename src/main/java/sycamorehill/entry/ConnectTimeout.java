package sycamorehill.entry;

import java.time.Duration;

/**
 * Timeout of connection attempts, derived from the recent successful ones.
 *
 * A target that has lost power does not answer, and a request to it waits until the
 * connection attempt times out. Connections within a region take a few milliseconds. An
 * attempt that takes many times longer will not succeed before its first packet is
 * retransmitted, one second later.
 */
final class ConnectTimeout {

	/** Upper limit of the timeout; used until enough connections are recorded. */
	static final Duration MAXIMUM_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Lower limit of the timeout: a busy process at either end may take this long to
	 * answer.
	 */
	static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(100);

	/** Ratio of the timeout to the slowest recent connection. */
	private static final int SLOWEST_MULTIPLIER = 5;

	/** Number of recent connections that determine the timeout. */
	private static final int WINDOW_SIZE = 32;

	private final long[] connectNanos = new long[WINDOW_SIZE];

	private int connectionCount;

	private ConnectTimeout() {
	}

	static ConnectTimeout create() {
		return new ConnectTimeout();
	}

	/**
	 * Records a successful connection.
	 * @param elapsedNanos the time that it took to connect, in nanoseconds
	 */
	void recordConnection(long elapsedNanos) {
		this.connectNanos[this.connectionCount % WINDOW_SIZE] = elapsedNanos;
		this.connectionCount++;
	}

	/**
	 * Returns the timeout for the next attempt.
	 * @return the timeout
	 */
	Duration current() {
		if (this.connectionCount < WINDOW_SIZE) {
			return MAXIMUM_TIMEOUT;
		}
		long slowest = 0;
		for (long each : this.connectNanos) {
			slowest = Math.max(slowest, each);
		}
		long multiple = Math.max(MINIMUM_TIMEOUT.toNanos(), slowest * SLOWEST_MULTIPLIER);
		return Duration.ofNanos(Math.min(MAXIMUM_TIMEOUT.toNanos(), multiple));
	}

}
