package sycamorehill.runtime;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Provides time that never goes back, for leases and timeouts. The clock starts at the
 * wall-clock time of its creation. Its instants can't be compared with those of another
 * process.
 */
public final class MonotonicClock implements InstantSource {

	private final Instant start;

	private final long startNanos;

	private MonotonicClock(Instant start, long startNanos) {
		this.start = start;
		this.startNanos = startNanos;
	}

	/**
	 * Creates a clock.
	 * @param wallClock provides the instant at which the clock starts
	 * @return the clock
	 */
	public static MonotonicClock start(InstantSource wallClock) {
		return new MonotonicClock(wallClock.instant(), System.nanoTime());
	}

	@Override
	public Instant instant() {
		return this.start.plusNanos(System.nanoTime() - this.startNanos);
	}

}
