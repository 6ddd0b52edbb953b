package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.policy.AdmissionPolicy;

/**
 * Adapts a concurrency limit to the ratio of the latency at low load to the current
 * latency. While the latency is within the tolerance, the limit grows in each window by
 * half its square root, which leaves room for a small queue. Beyond the tolerance, the
 * limit shrinks in proportion to the ratio.
 *
 * @param policy the policy with the bounds of the limit
 * @param exact the limit before rounding
 * @param atRest the latency at low load in seconds: the lowest recent average. It rises
 * slowly, so that the limit adapts to targets that have become slower
 * @param sum the sum of the latencies of this window in seconds
 * @param count the number of latencies of this window
 * @param busiest the maximum number of requests in flight in this window
 * @param windowEnd when the window ends
 */
record GradientLimit(AdmissionPolicy policy, double exact, double atRest, double sum, int count, int busiest,
		Instant windowEnd) implements ConcurrencyLimit {

	private static final Duration WINDOW = Duration.ofMillis(500);

	private static final int MINIMUM_SAMPLES = 5;

	/** Maximum growth of the latency at low load per window. */
	private static final double BASELINE_GROWTH_FACTOR = 1.002;

	/** Minimum fraction of the limit that remains after one window. */
	private static final double MINIMUM_GRADIENT = 0.8;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	static GradientLimit of(AdmissionPolicy policy) {
		return new GradientLimit(policy, policy.firstConcurrent(), 0, 0, 0, 0, Instant.MIN);
	}

	@Override
	public int limit() {
		return (int) Math.round(this.exact);
	}

	@Override
	public ConcurrencyLimit withSample(Duration latency, int inFlight, Instant now) {
		Instant end = this.windowEnd.equals(Instant.MIN) ? now.plus(WINDOW) : this.windowEnd;
		GradientLimit updated = new GradientLimit(this.policy, this.exact, this.atRest,
				this.sum + latency.toNanos() / NANOSECONDS_PER_SECOND, this.count + 1, Math.max(this.busiest, inFlight),
				end);
		boolean windowComplete = updated.count >= MINIMUM_SAMPLES && !now.isBefore(end);
		return windowComplete ? updated.closeWindow(now) : updated;
	}

	private GradientLimit closeWindow(Instant now) {
		double average = this.sum / this.count;
		double baseline = (this.atRest == 0) ? average : Math.min(average, this.atRest * BASELINE_GROWTH_FACTOR);
		double gradient = Math.max(MINIMUM_GRADIENT,
				Math.min(1, this.policy.latencyTolerance() * baseline / Math.max(average, 1e-9)));
		double changed = this.exact;
		// The latency of an idle node does not show that a higher limit is safe, so the
		// limit grows only while it is used.
		if (gradient < 1) {
			changed = this.exact * gradient;
		}
		else if (this.busiest >= this.exact * 0.8) {
			changed = this.exact + Math.sqrt(this.exact) / 2;
		}
		double bounded = Math.max(this.policy.fewestConcurrent(), Math.min(this.policy.mostConcurrent(), changed));
		return new GradientLimit(this.policy, bounded, baseline, 0, 0, 0, now.plus(WINDOW));
	}

}
