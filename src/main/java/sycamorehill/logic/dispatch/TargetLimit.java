package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.serving.RequestRate;

/**
 * What one target takes from all nodes together, and this node's part of it.
 */
final class TargetLimit {

	/** Nodes that share a target which takes next to nothing. */
	private static final int FEWEST_SHARING = 3;

	/**
	 * Further nodes that share a target, for each request a second that it takes. Each
	 * may send one request at once, so that few of them keep to a low limit together.
	 */
	private static final int SHARING_PER_REQUEST = 2;

	/** Without any request nobody would hear that a target is in need no more. */
	private static final double LEAST_PER_SECOND = 0.2;

	/** A node that has sent nothing for long sends one request at once, not several. */
	private static final double MOST_AT_ONCE = 1;

	private final Instant since;

	private RequestRate rate;

	private double ownPerSecond;

	private double available;

	private Instant countedAt;

	private Instant namedAt;

	private Instant toldAt = Instant.MIN;

	private TargetLimit(RequestRate rate, Instant now) {
		this.since = now;
		this.rate = rate;
		this.namedAt = now;
		this.countedAt = now;
	}

	static TargetLimit of(RequestRate rate, Instant now) {
		return new TargetLimit(rate, now);
	}

	/**
	 * Counts the nodes that share the target, if there are as many.
	 * @return their number
	 */
	int sharing() {
		return FEWEST_SHARING + (int) (SHARING_PER_REQUEST * Math.min(this.rate.perSecond(), Integer.MAX_VALUE / 4));
	}

	/**
	 * Shares the limit out anew.
	 * @param nodes number of nodes that share it
	 * @param own whether this node is one of them
	 * @param now the present time
	 */
	void share(int nodes, boolean own, Instant now) {
		count(now);
		this.ownPerSecond = own ? Math.max(this.rate.perSecond(), LEAST_PER_SECOND) / nodes : 0;
	}

	void named(RequestRate named, Instant now) {
		this.rate = named;
		this.namedAt = now;
	}

	void told(Instant now) {
		this.toldAt = now;
	}

	boolean allows(Instant now) {
		count(now);
		return this.available >= MOST_AT_ONCE;
	}

	void sent(Instant now) {
		count(now);
		this.available = Math.max(0, this.available - 1);
	}

	private void count(Instant now) {
		double seconds = Duration.between(this.countedAt, now).toNanos() / 1e9;
		this.available = Math.min(MOST_AT_ONCE, this.available + seconds * this.ownPerSecond);
		this.countedAt = now;
	}

	boolean shares() {
		return this.ownPerSecond > 0;
	}

	RequestRate rate() {
		return this.rate;
	}

	/**
	 * When the target was first heard to name a limit.
	 * @return the time
	 */
	Instant since() {
		return this.since;
	}

	Instant namedAt() {
		return this.namedAt;
	}

	Instant toldAt() {
		return this.toldAt;
	}

}
