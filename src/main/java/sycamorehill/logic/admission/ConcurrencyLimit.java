package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.policy.AdmissionPolicy;

/**
 * Limits how many requests of one service this node has in flight at once.
 * Implementations are immutable.
 */
public interface ConcurrencyLimit {

	/**
	 * Returns the current limit.
	 * @return the maximum number of requests in flight
	 */
	int limit();

	/**
	 * Adds a measured latency.
	 * @param latency the time from sending the request to its first token
	 * @param inFlight the number of requests in flight when it was measured
	 * @param now the current time
	 * @return the updated limit
	 */
	ConcurrencyLimit withSample(Duration latency, int inFlight, Instant now);

	/**
	 * Creates a limit that never changes.
	 * @param limit the maximum number of requests in flight
	 * @return the limit
	 */
	static ConcurrencyLimit fixed(int limit) {
		return new Fixed(limit);
	}

	/**
	 * Creates a limit that adapts to the ratio of the current first-token latency to the
	 * latency at low load.
	 * @param policy the policy with the bounds of the limit
	 * @return the limit before the first measurement
	 */
	static ConcurrencyLimit gradient(AdmissionPolicy policy) {
		return GradientLimit.of(policy);
	}

	/**
	 * A limit that never changes.
	 *
	 * @param limit the maximum number of requests in flight
	 */
	record Fixed(int limit) implements ConcurrencyLimit {

		@Override
		public ConcurrencyLimit withSample(Duration latency, int inFlight, Instant now) {
			return this;
		}

	}

}
