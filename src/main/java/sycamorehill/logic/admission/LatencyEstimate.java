package sycamorehill.logic.admission;

import java.time.Duration;

/**
 * How long the first token takes at the worst: the smoothed latency and four times its
 * smoothed deviation, as retransmission timers estimate round trips.
 *
 * @param mean smoothed latency in seconds
 * @param deviation smoothed deviation in seconds
 */
record LatencyEstimate(double mean, double deviation) {

	private static final double MEAN_GAIN = 0.125;

	private static final double DEVIATION_GAIN = 0.25;

	private static final double DEVIATIONS = 4;

	private static final double NANOS = 1e9;

	static LatencyEstimate none() {
		return new LatencyEstimate(0, 0);
	}

	LatencyEstimate measured(Duration latency) {
		double seconds = latency.toNanos() / NANOS;
		if (this.mean == 0) {
			return new LatencyEstimate(seconds, seconds / 2);
		}
		double off = Math.abs(seconds - this.mean);
		return new LatencyEstimate(this.mean + MEAN_GAIN * (seconds - this.mean),
				this.deviation + DEVIATION_GAIN * (off - this.deviation));
	}

	/**
	 * The latency that nearly all requests stay within.
	 * @return the bound, zero before anything was measured
	 */
	Duration bound() {
		return Duration.ofNanos((long) ((this.mean + DEVIATIONS * this.deviation) * NANOS));
	}

}
