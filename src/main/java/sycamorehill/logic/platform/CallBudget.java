package sycamorehill.logic.platform;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the platform calls of one kind: a token bucket bounds their rate and burst, and
 * after failures an exponential backoff with full jitter applies.
 *
 * <p>
 * The jitter prevents a thundering herd after an outage: without it all nodes would retry
 * at the same moment and the platform would throttle them again. After each failure the
 * delay is drawn from the whole range, so that the first calls after an outage are spread
 * over the maximum backoff.
 *
 * @param perSecond the sustained maximum of calls per second
 * @param burst the maximum number of calls at once
 * @param firstBackoff the upper limit of the random delay after the first failure
 * @param longestBackoff the upper limit of the random delay after any number of failures
 * @param credit the number of calls that were available at {@code creditAt}
 * @param creditAt the time at which the credit was computed
 * @param notBefore the end of the current backoff
 * @param failures the number of failures since the last success
 * @param randomState the state of the jitter generator
 */
public record CallBudget(double perSecond, double burst, Duration firstBackoff, Duration longestBackoff, double credit,
		Instant creditAt, Instant notBefore, int failures, long randomState) {

	private static final int MAXIMUM_DOUBLINGS = 20;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Creates a budget with the full burst available.
	 * @param perSecond the sustained maximum of calls per second
	 * @param burst the maximum number of calls at once
	 * @param firstBackoff the upper limit of the random delay after the first failure
	 * @param longestBackoff the upper limit of the random delay after any number of
	 * failures
	 * @param seed the seed of the jitter, different for each node
	 * @return the budget
	 */
	public static CallBudget create(double perSecond, double burst, Duration firstBackoff, Duration longestBackoff,
			long seed) {
		return new CallBudget(perSecond, burst, firstBackoff, longestBackoff, burst, Instant.MIN, Instant.MIN, 0,
				Jitter.nextState(seed));
	}

	/**
	 * Returns whether a call may be made.
	 * @param now the monotonic time of this node
	 * @return whether rate and backoff allow a call
	 */
	public boolean allows(Instant now) {
		return !now.isBefore(this.notBefore) && availableCredit(now) >= 1;
	}

	/**
	 * Records a call.
	 * @param now the monotonic time of this node
	 * @return the budget after the call
	 */
	public CallBudget recordCall(Instant now) {
		return new CallBudget(this.perSecond, this.burst, this.firstBackoff, this.longestBackoff,
				availableCredit(now) - 1, now, this.notBefore, this.failures, this.randomState);
	}

	/**
	 * Records a failed call.
	 * @param now the monotonic time of this node
	 * @param retryAfter the minimum delay that the platform asked for, zero for none
	 * @return the budget with a new backoff
	 */
	public CallBudget recordFailure(Instant now, Duration retryAfter) {
		int doublings = Math.min(this.failures, MAXIMUM_DOUBLINGS);
		Duration range = this.firstBackoff.multipliedBy(1L << doublings);
		Duration boundedRange = (range.compareTo(this.longestBackoff) < 0) ? range : this.longestBackoff;
		long nextState = Jitter.nextState(this.randomState);
		Duration delay = Jitter.randomDuration(boundedRange, nextState);
		Instant backoffEnd = now.plus((delay.compareTo(retryAfter) > 0) ? delay : retryAfter.plus(delay));
		return new CallBudget(this.perSecond, this.burst, this.firstBackoff, this.longestBackoff, this.credit,
				this.creditAt, backoffEnd, this.failures + 1, nextState);
	}

	/**
	 * Records a successful call.
	 * @return the budget without backoff
	 */
	public CallBudget recordSuccess() {
		if (this.failures == 0) {
			return this;
		}
		return new CallBudget(this.perSecond, this.burst, this.firstBackoff, this.longestBackoff, this.credit,
				this.creditAt, Instant.MIN, 0, this.randomState);
	}

	private double availableCredit(Instant now) {
		if (this.creditAt.equals(Instant.MIN)) {
			return this.burst;
		}
		double seconds = Duration.between(this.creditAt, now).toNanos() / NANOS_PER_SECOND;
		return Math.min(this.burst, this.credit + Math.max(0, seconds) * this.perSecond);
	}

}
