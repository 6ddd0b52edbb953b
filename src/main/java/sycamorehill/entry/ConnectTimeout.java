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
	static final Duration MOST = Duration.ofMillis(300);

	/** A busy process at either end may answer this late. */
	static final Duration LEAST = Duration.ofMillis(100);

	/** The timeout against the slowest connection of late. */
	private static final int TIMES = 5;

	/** Connections that are looked at: the latest. */
	private static final int LATEST = 32;

	private final long[] nanos = new long[LATEST];

	private int seen;

	private ConnectTimeout() {
	}

	static ConnectTimeout create() {
		return new ConnectTimeout();
	}

	/**
	 * Notes a connection.
	 * @param took time that it took, in nanoseconds
	 */
	void connected(long took) {
		this.nanos[this.seen % LATEST] = took;
		this.seen++;
	}

	/**
	 * The timeout for the next attempt.
	 * @return the timeout
	 */
	Duration present() {
		if (this.seen < LATEST) {
			return MOST;
		}
		long slowest = 0;
		for (long each : this.nanos) {
			slowest = Math.max(slowest, each);
		}
		long wanted = Math.max(LEAST.toNanos(), slowest * TIMES);
		return Duration.ofNanos(Math.min(MOST.toNanos(), wanted));
	}

}
