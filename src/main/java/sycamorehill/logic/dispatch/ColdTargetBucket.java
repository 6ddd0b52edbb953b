package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds this node's tokens for the requests of one cold target.
 *
 * A request may be held up on its way, by a slow connection or by a partition, and arrive
 * together with later ones. While any is overdue the bucket isn't refilled. So the
 * requests that arrive within one second were sent while the bucket was refilled for at
 * most that second and the transit time.
 */
final class ColdTargetBucket {

	private final List<Transit> transits = new ArrayList<>();

	private ColdTargetBudget.Share share = ColdTargetBudget.Share.NONE;

	private double tokens;

	private Instant refilledAt;

	private ColdTargetBucket(double tokens, Instant now) {
		this.tokens = tokens;
		this.refilledAt = now;
	}

	/**
	 * Creates the bucket of a target to which this node has sent nothing yet. It is full
	 * with the first share that it gets.
	 * @param now the current time
	 * @return the bucket
	 */
	static ColdTargetBucket full(Instant now) {
		return new ColdTargetBucket(Double.MAX_VALUE, now);
	}

	/**
	 * Creates the bucket of a target to which this node may just have sent requests.
	 * @param now the current time
	 * @return the bucket
	 */
	static ColdTargetBucket empty(Instant now) {
		return new ColdTargetBucket(0, now);
	}

	/**
	 * Changes this node's share.
	 * @param newShare the share
	 * @param now the current time
	 */
	void assign(ColdTargetBudget.Share newShare, Instant now) {
		refill(now);
		this.share = newShare;
		this.tokens = Math.min(this.tokens, newShare.burst());
	}

	boolean allowsRequest(Instant now) {
		return this.share.burst() >= 1 && tokens(now) >= 1;
	}

	/**
	 * Takes a token for a request.
	 * @param transit the request, on its way
	 * @param now the current time
	 */
	void recordSent(Transit transit, Instant now) {
		refill(now);
		this.tokens -= 1;
		this.transits.add(transit);
	}

	/**
	 * Adds the tokens of the time since the last refill.
	 * @param now the current time
	 */
	void refill(Instant now) {
		this.tokens = tokens(now);
		this.refilledAt = now;
		this.transits.removeIf(Transit::isSettled);
	}

	private double tokens(Instant now) {
		Duration elapsed = Duration.between(this.refilledAt, now);
		Duration held = this.transits.stream()
			.map((transit) -> transit.overdue(this.share.transitTime(), this.refilledAt, now))
			.reduce(Duration.ZERO, Duration::plus);
		if (held.compareTo(elapsed) >= 0) {
			return this.tokens;
		}
		double seconds = elapsed.minus(held).toNanos() / 1e9;
		return Math.min(Math.max(this.tokens, this.share.burst()),
				this.tokens + seconds * this.share.requestsPerSecond());
	}

	ColdTargetBudget.Share share() {
		return this.share;
	}

}
