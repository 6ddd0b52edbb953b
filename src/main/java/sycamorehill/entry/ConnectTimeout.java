package sycamorehill.entry;

import java.time.Duration;

/**
 * How long a connection attempt may take, learned from those that succeeded.
 *
 * A target that has lost power answers nothing, and a request that was sent there waits
 * until the attempt is given up. Connections within a region take some milliseconds: an
 * attempt that takes many times longer will not succeed before its first packet is sent
 * again, a second later.
 */
final class ConnectTimeout {

	/** Timeout while little is known. */
	static final Duration MAXIMUM_TIMEOUT = Duration.ofMillis(300);

	/** A busy process at either end may answer this late. */
	static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(100);

	/** The timeout against the slowest connection of late. */
	private static final int SLOWEST_MULTIPLIER = 5;

	/** Connections that are looked at: the latest. */
	private static final int WINDOW_SIZE = 32;

	private final long[] connectNanos = new long[WINDOW_SIZE];

	private int connectionCount;

	private ConnectTimeout() {
	}

	static ConnectTimeout create() {
		return new ConnectTimeout();
	}

	/**
	 * Notes a connection.
	 * @param elapsedNanos the time that it took to connect, in nanoseconds
	 */
	void recordConnection(long elapsedNanos) {
		this.connectNanos[this.connectionCount % WINDOW_SIZE] = elapsedNanos;
		this.connectionCount++;
	}

	/**
	 * The timeout for the next attempt.
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
