package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that this node sends to one service, so that all nodes together stay
 * within the service's bound: a ratio of its requests, plus a fixed allowance that the
 * nodes share.
 *
 * The bound holds for a window that slides, so at every moment it covers what was counted
 * within the window's length. Counts are kept per tenth of the window. A tenth that lies
 * only partly within it counts with its retries and without its requests.
 */
final class SlidingWindowRetryBudget {

	private static final int BUCKETS = 10;

	private final Duration window;

	private final Duration bucketLength;

	private double ratio;

	private double allowance;

	private final Deque<Bucket> buckets = new ArrayDeque<>();

	private SlidingWindowRetryBudget(Duration window, double ratio, double allowance) {
		this.window = window;
		this.bucketLength = window.dividedBy(BUCKETS);
		this.ratio = ratio;
		this.allowance = allowance;
	}

	/**
	 * Creates a budget.
	 * @param window length of the window
	 * @param ratio retries allowed per request
	 * @param allowance further retries allowed in a window, this node's share of them
	 * @return the budget
	 */
	static SlidingWindowRetryBudget of(Duration window, double ratio, double allowance) {
		return new SlidingWindowRetryBudget(window, ratio, allowance);
	}

	/**
	 * Changes the bounds.
	 * @param newRatio retries allowed per request
	 * @param newAllowance further retries allowed in a window, this node's share of them
	 */
	void setBounds(double newRatio, double newAllowance) {
		this.ratio = newRatio;
		this.allowance = newAllowance;
	}

	void recordRequest(Instant now) {
		currentBucket(now).requests++;
	}

	/**
	 * Takes one retry from the budget if there is one left.
	 * @param now the current time
	 * @return true if the retry may be sent
	 */
	boolean tryRetry(Instant now) {
		Bucket currentBucket = currentBucket(now);
		Instant windowStart = now.minus(this.window);
		int requests = 0;
		int retries = 0;
		for (Bucket bucket : this.buckets) {
			requests += bucket.start.isBefore(windowStart) ? 0 : bucket.requests;
			retries += bucket.retries;
		}
		if (retries + 1 > this.ratio * requests + this.allowance) {
			return false;
		}
		currentBucket.retries++;
		return true;
	}

	private Bucket currentBucket(Instant now) {
		while (!this.buckets.isEmpty()
				&& this.buckets.peekFirst().start.plus(this.bucketLength.multipliedBy(BUCKETS + 1)).isBefore(now)) {
			this.buckets.removeFirst();
		}
		Bucket last = this.buckets.peekLast();
		if (last == null || !last.start.plus(this.bucketLength).isAfter(now)) {
			last = new Bucket(now);
			this.buckets.addLast(last);
		}
		return last;
	}

	/**
	 * The counts of one tenth of the window.
	 */
	private static final class Bucket {

		private final Instant start;

		private int requests;

		private int retries;

		Bucket(Instant start) {
			this.start = start;
		}

	}

}
