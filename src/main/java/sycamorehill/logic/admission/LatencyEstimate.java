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

	private static final double GAIN = 0.05;

	private static final double DEVIATIONS = 5;

	private static final double REST_RISE = 1.0005;

	private static final double FORGET_SECONDS = 0.5;

	private static final double NANOS = 1e9;

	static LatencyEstimate none() {
		return new LatencyEstimate(0, 0, 0, Instant.EPOCH);
	}

	LatencyEstimate measured(Duration latency, Instant now) {
		double seconds = latency.toNanos() / NANOS;
		if (this.mean == 0) {
			return new LatencyEstimate(seconds, seconds / 4, seconds, now);
		}
		double off = Math.abs(seconds - this.mean);
		double smoothed = this.mean + GAIN * (seconds - this.mean);
		return new LatencyEstimate(smoothed, this.deviation + GAIN * (off - this.deviation),
				Math.min(smoothed, this.atRest * REST_RISE), now);
	}

	/**
	 * The latency at rest.
	 * @return the smallest smoothed latency of late
	 */
	Duration rest() {
		return Duration.ofNanos((long) (this.atRest * NANOS));
	}

	/**
	 * The latency that nearly all requests stay within.
	 * @param now the time
	 * @return the bound, zero before anything was measured
	 */
	Duration bound(Instant now) {
		double above = this.mean + DEVIATIONS * this.deviation - this.atRest;
		double age = Duration.between(this.measuredAt, now).toNanos() / NANOS;
		double kept = Math.exp(-Math.max(0, age) / FORGET_SECONDS);
		return Duration.ofNanos((long) ((this.atRest + above * kept) * NANOS));
	}

}
