package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.policy.AdmissionPolicy;

/**
 * The load of one service on this node.
 *
 * @param queue the waiting requests
 * @param limit the limit of requests in flight
 * @param inFlight the number of requests in flight
 * @param estimate the estimated time to the first token
 * @param rate the smoothed number of requests that finish per second
 * @param rateAt when the rate was last updated
 */
record ServiceLoad(FairQueue queue, ConcurrencyLimit limit, int inFlight, LatencyEstimate estimate, double rate,
		Instant rateAt) {

	/** Time constant of the smoothed rate. */
	private static final double RATE_SMOOTHING_SECONDS = 2;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	static ServiceLoad fresh(AdmissionPolicy policy, Instant now) {
		return new ServiceLoad(FairQueue.empty(), ConcurrencyLimit.gradient(policy), 0, LatencyEstimate.none(), 0, now);
	}

	ServiceLoad with(FairQueue changed) {
		return new ServiceLoad(changed, this.limit, this.inFlight, this.estimate, this.rate, this.rateAt);
	}

	ServiceLoad admit(FairQueue changed) {
		return new ServiceLoad(changed, this.limit, this.inFlight + 1, this.estimate, this.rate, this.rateAt);
	}

	ServiceLoad finish(Instant now) {
		double decay = Math
			.exp(-Duration.between(this.rateAt, now).toNanos() / NANOSECONDS_PER_SECOND / RATE_SMOOTHING_SECONDS);
		return new ServiceLoad(this.queue, this.limit, this.inFlight - 1, this.estimate,
				this.rate * decay + 1 / RATE_SMOOTHING_SECONDS, now);
	}

	ServiceLoad withSample(Duration latency, Instant now) {
		return new ServiceLoad(this.queue, this.limit.withSample(latency, this.inFlight, now), this.inFlight,
				this.estimate.withSample(latency, now), this.rate, this.rateAt);
	}

	/**
	 * Estimates how long a number of requests take at the recent rate.
	 * @param ahead the number of requests ahead
	 * @return the wait, zero if no request has finished yet
	 */
	Duration estimatedWait(double ahead) {
		if (this.rate <= 0 || ahead <= 0) {
			return Duration.ZERO;
		}
		return Duration.ofNanos((long) (ahead / this.rate * NANOSECONDS_PER_SECOND));
	}

	boolean hasCapacity() {
		return this.inFlight < this.limit.limit();
	}

	boolean idle() {
		return this.inFlight == 0 && this.queue.size() == 0;
	}

}
