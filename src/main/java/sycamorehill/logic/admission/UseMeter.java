package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.peer.ShareAmounts;

/**
 * What a workspace uses and asks for on this node. The two rates are token buckets that
 * may go into debt by one request, so that a share below one request a second is of use.
 *
 * @param requestLevel requests that may be admitted now
 * @param tokenLevel tokens that may be admitted now
 * @param inFlight requests in flight
 * @param waiting requests that wait
 * @param offered smoothed requests a second that callers send
 * @param offeredTokens smoothed tokens a second of them
 * @param updatedAt when levels and smoothed values were brought up to date
 */
record UseMeter(double requestLevel, double tokenLevel, int inFlight, int waiting, double offered, double offeredTokens,
		Instant updatedAt) {

	private static final double SMOOTHING_SECONDS = 1.0;

	private static final double BURST_SECONDS = 0.5;

	private static final double HEADROOM = 1.25;

	private static final double NANOS = 1e9;

	static UseMeter fresh(Instant now) {
		Instant longIdle = now.minusMillis((long) (BURST_SECONDS * 1000));
		return new UseMeter(1, 1, 0, 0, 0, 0, longIdle);
	}

	UseMeter at(Instant now, ShareAmounts share) {
		double seconds = Duration.between(this.updatedAt, now).toNanos() / NANOS;
		if (seconds <= 0) {
			return this;
		}
		double fade = Math.exp(-seconds / SMOOTHING_SECONDS);
		return new UseMeter(fill(this.requestLevel, share.requests(), seconds, 1),
				fill(this.tokenLevel, share.tokens(), seconds, 1), this.inFlight, this.waiting, this.offered * fade,
				this.offeredTokens * fade, now);
	}

	private static double fill(double level, double rate, double seconds, double smallestBurst) {
		double capacity = Math.max(smallestBurst, rate * BURST_SECONDS);
		return Math.min(capacity, level + rate * seconds);
	}

	UseMeter offer(double tokens) {
		return new UseMeter(this.requestLevel, this.tokenLevel, this.inFlight, this.waiting,
				this.offered + 1 / SMOOTHING_SECONDS, this.offeredTokens + tokens / SMOOTHING_SECONDS, this.updatedAt);
	}

	UseMeter waiting(int change) {
		return new UseMeter(this.requestLevel, this.tokenLevel, this.inFlight, this.waiting + change, this.offered,
				this.offeredTokens, this.updatedAt);
	}

	/**
	 * Whether the next request fits the share.
	 * @param share the share
	 * @return whether it may be admitted
	 */
	boolean admits(ShareAmounts share) {
		return share.requests() > 0 && this.requestLevel >= 1 && this.tokenLevel > 0
				&& this.inFlight + 1 <= share.inFlight();
	}

	UseMeter admit(double tokens) {
		return new UseMeter(this.requestLevel - 1, this.tokenLevel - tokens, this.inFlight + 1, this.waiting,
				this.offered, this.offeredTokens, this.updatedAt);
	}

	/**
	 * Ends a request and gives back what it did not use.
	 * @param unusedTokens tokens that were admitted but not generated
	 * @return the meter
	 */
	UseMeter finish(double unusedTokens) {
		return new UseMeter(this.requestLevel, this.tokenLevel + unusedTokens, this.inFlight - 1, this.waiting,
				this.offered, this.offeredTokens, this.updatedAt);
	}

	/**
	 * What the node could use of the limits.
	 * @return the present demand with some headroom
	 */
	ShareAmounts demand() {
		double backlogTokens = (this.offered > 0) ? this.waiting * this.offeredTokens / this.offered : 0;
		int busy = this.inFlight + this.waiting;
		return new ShareAmounts(this.offered * HEADROOM + this.waiting,
				this.offeredTokens * HEADROOM + backlogTokens + Math.max(0, -this.tokenLevel),
				(busy > 0) ? Math.ceil(busy * HEADROOM) + 1 : Math.min(1, this.offered));
	}

	/**
	 * Whether nothing is lost by forgetting the meter: a fresh one starts with full
	 * levels, so a node that forgot sooner would admit a request more each time than its
	 * share.
	 * @return whether it equals a fresh one
	 */
	boolean idle() {
		return this.inFlight == 0 && this.waiting == 0 && this.offered < 0.01 && this.requestLevel >= 1
				&& this.tokenLevel >= 1;
	}

}
