package sycamorehill.logic.entry;

import java.time.Duration;

/**
 * Times of a planned stop, counted from the request to stop.
 *
 * @param untilKilled when the process is killed
 */
public record StopTimes(Duration untilKilled) {

	/**
	 * Longest time for which requests are still accepted: the load balancer checks the
	 * node each second and sends no new connections after two failed checks.
	 */
	private static final Duration MAXIMUM_ACCEPTANCE = Duration.ofMillis(3000);

	/**
	 * The same as a part of the time until the process is killed. The rest is for the
	 * answers to the last requests.
	 */
	private static final double ACCEPTANCE_SHARE = 0.375;

	/** Margin before the process is killed at which it ends by itself. */
	private static final Duration KILL_MARGIN = Duration.ofMillis(300);

	/**
	 * Returns how long requests are still accepted.
	 * @return the time
	 */
	public Duration acceptance() {
		Duration share = Duration.ofMillis((long) (this.untilKilled.toMillis() * ACCEPTANCE_SHARE));
		return (share.compareTo(MAXIMUM_ACCEPTANCE) < 0) ? share : MAXIMUM_ACCEPTANCE;
	}

	/**
	 * Returns when the process ends by itself, whatever is in flight.
	 * @return the time
	 */
	public Duration end() {
		return this.untilKilled.minus(KILL_MARGIN);
	}

}
