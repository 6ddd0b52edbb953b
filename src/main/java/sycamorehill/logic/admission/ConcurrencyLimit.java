package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.policy.AdmissionPolicy;

/**
 * How many requests of one service this node has in flight at once. Immutable.
 */
public interface ConcurrencyLimit {

	/**
	 * The present limit.
	 * @return the most requests in flight
	 */
	int limit();

	/**
	 * Takes one measured latency in.
	 * @param latency time from the sending to the first token
	 * @param inFlight requests in flight when it was measured
	 * @param now the time
	 * @return the limit after it
	 */
	ConcurrencyLimit withSample(Duration latency, int inFlight, Instant now);

	/**
	 * A limit that never changes.
	 * @param limit the limit
	 * @return the limit
	 */
	static ConcurrencyLimit fixed(int limit) {
		return new Fixed(limit);
	}

	/**
	 * The limit that follows how much slower than at rest the first tokens come.
	 * @param policy its bounds
	 * @return the limit before anything was measured
	 */
	static ConcurrencyLimit gradient(AdmissionPolicy policy) {
		return GradientLimit.of(policy);
	}

	/**
	 * A limit that never changes.
	 *
	 * @param limit the limit
	 */
	record Fixed(int limit) implements ConcurrencyLimit {

		@Override
		public ConcurrencyLimit withSample(Duration latency, int inFlight, Instant now) {
			return this;
		}

	}

}
