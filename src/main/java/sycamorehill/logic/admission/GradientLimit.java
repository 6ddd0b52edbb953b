package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.policy.AdmissionPolicy;

/**
 * Follows the ratio of the latency at rest to the latency now: below the tolerance the
 * limit grows by a small queue's worth for each window, above it the limit shrinks with
 * the ratio.
 *
 * @param policy bounds
 * @param exact the limit before rounding
 * @param atRest latency at rest in seconds: the smallest average of late, rising slowly
 * so that a slower fleet is learnt
 * @param sum latencies of this window in seconds
 * @param count how many
 * @param busiest most requests in flight in this window
 * @param windowEnd when the window ends
 */
record GradientLimit(AdmissionPolicy policy, double exact, double atRest, double sum, int count, int busiest,
		Instant windowEnd) implements ConcurrencyLimit {

	private static final Duration WINDOW = Duration.ofMillis(500);

	private static final int MINIMUM_SAMPLES = 5;

	private static final double BASELINE_GROWTH_FACTOR = 1.002;

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
		// An idle node's latency says nothing about a higher limit: it grows only in use.
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
