package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * How long the first token takes at the worst: the smoothed latency and some times its
 * smoothed deviation. While nothing is measured it falls back to the smoothed latency at
 * rest: an estimate above every deadline would refuse everything, nothing would be
 * measured again, and it would never fall.
 *
 * @param mean smoothed latency in seconds
 * @param deviation smoothed deviation in seconds
 * @param atRest smallest smoothed latency of late in seconds
 * @param measuredAt when it was measured last
 */
record LatencyEstimate(double mean, double deviation, double atRest, Instant measuredAt) {

	private static final double SMOOTHING_GAIN = 0.05;

	private static final double DEVIATION_MULTIPLIER = 5;

	private static final double BASELINE_GROWTH_FACTOR = 1.0005;

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
	 * The latency at rest.
	 * @return the smallest smoothed latency of late
	 */
	Duration baseline() {
		return Duration.ofNanos((long) (this.atRest * NANOSECONDS_PER_SECOND));
	}

	/**
	 * The latency that nearly all requests stay within.
	 * @param now the time
	 * @return the bound, zero before anything was measured
	 */
	Duration upperBound(Instant now) {
		double margin = this.mean + DEVIATION_MULTIPLIER * this.deviation - this.atRest;
		double age = Duration.between(this.measuredAt, now).toNanos() / NANOSECONDS_PER_SECOND;
		double decay = Math.exp(-Math.max(0, age) / DECAY_SECONDS);
		return Duration.ofNanos((long) ((this.atRest + margin * decay) * NANOSECONDS_PER_SECOND));
	}

}
