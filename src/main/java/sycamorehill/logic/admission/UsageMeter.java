package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.peer.ShareAmounts;

/**
 * The usage of a workspace's limits and the demand for them on this node. Both rates are
 * token buckets. The request bucket holds at least one request, and the token bucket may
 * go into debt by one request, so that a share below one request per second is still
 * usable.
 *
 * @param requestLevel the number of requests that may be admitted now
 * @param tokenLevel the number of tokens that may be admitted now, negative when in debt
 * @param inFlight the number of requests in flight
 * @param waiting the number of waiting requests
 * @param offered the smoothed number of requests that callers send per second
 * @param offeredTokens the smoothed number of tokens of those requests per second
 * @param updatedAt when the levels and the smoothed values were last updated
 */
record UsageMeter(double requestLevel, double tokenLevel, int inFlight, int waiting, double offered,
		double offeredTokens, Instant updatedAt) {

	/** Time constant of the smoothed rates. */
	private static final double RATE_SMOOTHING_SECONDS = 1.0;

	/** A full bucket holds what the share allows in this time. */
	private static final double BURST_SECONDS = 0.5;

	private static final double HEADROOM_FACTOR = 1.25;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	static UsageMeter fresh(Instant now) {
		Instant burstAgo = now.minusMillis((long) (BURST_SECONDS * 1000));
		return new UsageMeter(1, 1, 0, 0, 0, 0, burstAgo);
	}

	UsageMeter updatedTo(Instant now, ShareAmounts share) {
		double seconds = Duration.between(this.updatedAt, now).toNanos() / NANOSECONDS_PER_SECOND;
		if (seconds <= 0) {
			return this;
		}
		double decay = Math.exp(-seconds / RATE_SMOOTHING_SECONDS);
		return new UsageMeter(refill(this.requestLevel, share.requests(), seconds, 1),
				refill(this.tokenLevel, share.tokens(), seconds, 1), this.inFlight, this.waiting, this.offered * decay,
				this.offeredTokens * decay, now);
	}

	private static double refill(double level, double rate, double seconds, double minimumBurst) {
		double capacity = Math.max(minimumBurst, rate * BURST_SECONDS);
		return Math.min(capacity, level + rate * seconds);
	}

	UsageMeter recordOffered(double tokens) {
		return new UsageMeter(this.requestLevel, this.tokenLevel, this.inFlight, this.waiting,
				this.offered + 1 / RATE_SMOOTHING_SECONDS, this.offeredTokens + tokens / RATE_SMOOTHING_SECONDS,
				this.updatedAt);
	}

	UsageMeter withWaitingChange(int change) {
		return new UsageMeter(this.requestLevel, this.tokenLevel, this.inFlight, this.waiting + change, this.offered,
				this.offeredTokens, this.updatedAt);
	}

	/**
	 * Returns whether the next request fits into the share.
	 * @param share the usable share
	 * @return whether it may be admitted
	 */
	boolean admits(ShareAmounts share) {
		return share.requests() > 0 && this.requestLevel >= 1 && this.tokenLevel > 0
				&& this.inFlight + 1 <= share.inFlight();
	}

	UsageMeter admit(double tokens) {
		return new UsageMeter(this.requestLevel - 1, this.tokenLevel - tokens, this.inFlight + 1, this.waiting,
				this.offered, this.offeredTokens, this.updatedAt);
	}

	/**
	 * Ends a request and returns the tokens that it did not use.
	 * @param unusedTokens the tokens that were admitted but not generated
	 * @return the updated meter
	 */
	UsageMeter finish(double unusedTokens) {
		return new UsageMeter(this.requestLevel, this.tokenLevel + unusedTokens, this.inFlight - 1, this.waiting,
				this.offered, this.offeredTokens, this.updatedAt);
	}

	/**
	 * Returns what the node could use of the limits.
	 * @return the current demand with some headroom
	 */
	ShareAmounts demand() {
		double backlogTokens = (this.offered > 0) ? this.waiting * this.offeredTokens / this.offered : 0;
		int active = this.inFlight + this.waiting;
		return new ShareAmounts(this.offered * HEADROOM_FACTOR + this.waiting,
				this.offeredTokens * HEADROOM_FACTOR + backlogTokens + Math.max(0, -this.tokenLevel),
				(active > 0) ? Math.ceil(active * HEADROOM_FACTOR) + 1 : Math.min(1, this.offered));
	}

	/**
	 * Returns whether the meter can be dropped without loss. A new meter starts with full
	 * levels, so dropping one earlier would admit more than the share each time.
	 * @return whether the meter is equivalent to a new one
	 */
	boolean idle() {
		return this.inFlight == 0 && this.waiting == 0 && this.offered < 0.01 && this.requestLevel >= 1
				&& this.tokenLevel >= 1;
	}

}
