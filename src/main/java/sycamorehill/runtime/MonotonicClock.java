package sycamorehill.runtime;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Time that never goes back, for leases and timeouts. It begins at the wall clock of its
 * creation and means nothing on another VM.
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
	 * @param wallClock gives the time it begins at
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
