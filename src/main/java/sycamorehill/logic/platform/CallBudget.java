package sycamorehill.logic.platform;

import java.time.Duration;
import java.time.Instant;

/**
 * When one part may make its next platform call of one kind: a rate with a burst, and
 * after failures an exponential backoff with full jitter.
 *
 * <p>
 * Guards against the herd after an outage: without jitter all nodes would come back in
 * the same moment and throttle the platform again. The wait is drawn anew from the whole
 * range after each failure, so that the first calls after an outage spread over the
 * longest backoff.
 *
 * @param perSecond the most calls a second over time
 * @param burst how many calls may come at once
 * @param firstBackoff the longest wait after the first failure
 * @param longestBackoff the longest wait after many failures
 * @param credit calls that may be made at {@code creditAt}
 * @param creditAt when the credit was counted
 * @param notBefore the end of the present backoff
 * @param failures failures since the last success
 * @param randomState state of the generator of jitter
 */
public record CallBudget(double perSecond, double burst, Duration firstBackoff, Duration longestBackoff, double credit,
		Instant creditAt, Instant notBefore, int failures, long randomState) {

	private static final int MAXIMUM_DOUBLINGS = 20;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Creates a budget with its whole burst free.
	 * @param perSecond the most calls a second over time
	 * @param burst how many calls may come at once
	 * @param firstBackoff the longest wait after the first failure
	 * @param longestBackoff the longest wait after many failures
	 * @param seed feeds the jitter, different for each node
	 * @return the budget
	 */
	public static CallBudget create(double perSecond, double burst, Duration firstBackoff, Duration longestBackoff,
			long seed) {
		return new CallBudget(perSecond, burst, firstBackoff, longestBackoff, burst, Instant.MIN, Instant.MIN, 0,
				Jitter.nextState(seed));
	}

	/**
	 * Whether a call may be made.
	 * @param now own monotonic time
	 * @return whether rate and backoff allow it
	 */
	public boolean allows(Instant now) {
		return !now.isBefore(this.notBefore) && availableCredit(now) >= 1;
	}

	/**
	 * Counts a call.
	 * @param now own monotonic time
	 * @return the budget after the call
	 */
	public CallBudget recordCall(Instant now) {
		return new CallBudget(this.perSecond, this.burst, this.firstBackoff, this.longestBackoff,
				availableCredit(now) - 1, now, this.notBefore, this.failures, this.randomState);
	}

	/**
	 * Takes in that a call failed.
	 * @param now own monotonic time
	 * @param retryAfter the platform's own word on when to come back, zero for none
	 * @return the budget with a longer backoff
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
	 * Takes in that a call succeeded.
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
