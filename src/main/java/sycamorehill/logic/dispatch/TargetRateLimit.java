package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.serving.RequestRate;

/**
 * Tracks the rate limit that one target sets for all nodes together, and this node's
 * share of it as a token bucket.
 */
final class TargetRateLimit {

	/** Number of nodes that share a target whose limit is close to zero. */
	private static final int MINIMUM_SHARING_NODES = 3;

	/**
	 * Additional nodes that share a target, for each request per second of its limit.
	 * Each node may send one request at once, so only a few nodes can keep to a low limit
	 * together.
	 */
	private static final int SHARING_NODES_PER_REQUEST = 2;

	/**
	 * Rate that is used in place of a lower limit: without any request no node would
	 * learn that the limit is lifted.
	 */
	private static final double MINIMUM_REQUESTS_PER_SECOND = 0.2;

	/**
	 * Size of the token bucket: a node that has sent nothing for long sends one request
	 * at once, not several.
	 */
	private static final double MAXIMUM_BURST = 1;

	private final Instant firstReportedAt;

	private RequestRate rate;

	private double localRequestsPerSecond;

	private double tokens;

	private Instant refilledAt;

	private Instant reportedAt;

	private Instant broadcastAt = Instant.MIN;

	private TargetRateLimit(RequestRate rate, Instant now) {
		this.firstReportedAt = now;
		this.rate = rate;
		this.reportedAt = now;
		this.refilledAt = now;
	}

	static TargetRateLimit of(RequestRate rate, Instant now) {
		return new TargetRateLimit(rate, now);
	}

	/**
	 * Returns how many nodes share the target, if there are as many.
	 * @return the number of nodes
	 */
	int sharingNodes() {
		return MINIMUM_SHARING_NODES
				+ (int) (SHARING_NODES_PER_REQUEST * Math.min(this.rate.perSecond(), Integer.MAX_VALUE / 4));
	}

	/**
	 * Assigns this node's share of the limit.
	 * @param nodeCount number of nodes that share the target
	 * @param included whether this node is one of them
	 * @param now the current time
	 */
	void assignShare(int nodeCount, boolean included, Instant now) {
		refill(now);
		this.localRequestsPerSecond = included
				? Math.max(this.rate.perSecond(), MINIMUM_REQUESTS_PER_SECOND) / nodeCount : 0;
	}

	void recordReport(RequestRate reportedRate, Instant now) {
		this.rate = reportedRate;
		this.reportedAt = now;
	}

	void recordBroadcast(Instant now) {
		this.broadcastAt = now;
	}

	boolean allowsRequest(Instant now) {
		return tokens(now) >= MAXIMUM_BURST;
	}

	void recordSent(Instant now) {
		refill(now);
		this.tokens = Math.max(0, this.tokens - 1);
	}

	private void refill(Instant now) {
		this.tokens = tokens(now);
		this.refilledAt = now;
	}

	private double tokens(Instant now) {
		double seconds = Duration.between(this.refilledAt, now).toNanos() / 1e9;
		return Math.min(MAXIMUM_BURST, this.tokens + seconds * this.localRequestsPerSecond);
	}

	double localRequestsPerSecond() {
		return this.localRequestsPerSecond;
	}

	boolean hasShare() {
		return this.localRequestsPerSecond > 0;
	}

	RequestRate rate() {
		return this.rate;
	}

	/**
	 * Returns when the target was first known to report a limit.
	 * @return the time
	 */
	Instant firstReportedAt() {
		return this.firstReportedAt;
	}

	Instant reportedAt() {
		return this.reportedAt;
	}

	Instant broadcastAt() {
		return this.broadcastAt;
	}

}
