package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates an upper bound of the time to the first token from the smoothed latency and
 * its smoothed deviation. While no latency is measured, the bound decays to the latency
 * at low load. A bound above every deadline would otherwise refuse all requests, and no
 * new measurement could lower it.
 *
 * @param mean the smoothed latency in seconds
 * @param deviation the smoothed deviation in seconds
 * @param atRest the latency at low load in seconds: the lowest recent smoothed latency
 * @param measuredAt the time of the last measurement
 */
record LatencyEstimate(double mean, double deviation, double atRest, Instant measuredAt) {

	/** Weight of a new sample in the smoothed values. */
	private static final double SMOOTHING_GAIN = 0.05;

	/** Number of deviations between the mean and the bound. */
	private static final double DEVIATION_MULTIPLIER = 5;

	/** Maximum growth of the latency at low load per sample. */
	private static final double BASELINE_GROWTH_FACTOR = 1.0005;

	/** Time constant of the decay while no latency is measured. */
	private static final double DECAY_SECONDS = 0.5;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	static LatencyEstimate none() {
		return new LatencyEstimate(0, 0, 0, Instant.EPOCH);
	}

	LatencyEstimate withSample(Duration latency, Instant now) {
		double seconds = latency.toNanos() / NANOSECONDS_PER_SECOND;
		if (this.mean == 0) {
			return new LatencyEstimate(seconds, seconds / 4, seconds, now);
		}
		double absoluteDeviation = Math.abs(seconds - this.mean);
		double smoothed = this.mean + SMOOTHING_GAIN * (seconds - this.mean);
		return new LatencyEstimate(smoothed, this.deviation + SMOOTHING_GAIN * (absoluteDeviation - this.deviation),
				Math.min(smoothed, this.atRest * BASELINE_GROWTH_FACTOR), now);
	}

	/**
	 * Returns the latency at low load.
	 * @return the lowest recent smoothed latency
	 */
	Duration baseline() {
		return Duration.ofNanos((long) (this.atRest * NANOSECONDS_PER_SECOND));
	}

	/**
	 * Returns a latency that nearly all requests stay below.
	 * @param now the current time
	 * @return the bound, zero before the first measurement
	 */
	Duration upperBound(Instant now) {
		double margin = this.mean + DEVIATION_MULTIPLIER * this.deviation - this.atRest;
		double age = Duration.between(this.measuredAt, now).toNanos() / NANOSECONDS_PER_SECOND;
		double decay = Math.exp(-Math.max(0, age) / DECAY_SECONDS);
		return Duration.ofNanos((long) ((this.atRest + margin * decay) * NANOSECONDS_PER_SECOND));
	}

}
