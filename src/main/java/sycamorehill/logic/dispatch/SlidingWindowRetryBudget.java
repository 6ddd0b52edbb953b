package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds what a node sends beyond the first attempt of each request to one service, so
 * that all nodes together stay below the bound of the service: a part of the requests,
 * and a fixed number that the nodes share out.
 *
 * A window that slides holds at every moment what was counted within its length; counts
 * are kept by tenth of the window, which errs towards fewer repeats.
 */
final class SlidingWindowRetryBudget {

	private static final int BUCKETS = 10;

	private final Duration bucketLength;

	private double ratio;

	private double allowance;

	private final Deque<Bucket> buckets = new ArrayDeque<>();

	private SlidingWindowRetryBudget(Duration window, double ratio, double allowance) {
		this.bucketLength = window.dividedBy(BUCKETS);
		this.ratio = ratio;
		this.allowance = allowance;
	}

	/**
	 * Creates the budget.
	 * @param window length of the window
	 * @param ratio repeats allowed for each request
	 * @param allowance repeats allowed besides, this node's part of them
	 * @return the budget
	 */
	static SlidingWindowRetryBudget of(Duration window, double ratio, double allowance) {
		return new SlidingWindowRetryBudget(window, ratio, allowance);
	}

	/**
	 * Changes the bounds.
	 * @param newRatio repeats allowed for each request
	 * @param newAllowance repeats allowed besides, this node's part of them
	 */
	void setBounds(double newRatio, double newAllowance) {
		this.ratio = newRatio;
		this.allowance = newAllowance;
	}

	void recordRequest(Instant now) {
		currentBucket(now).requests++;
	}

	/**
	 * Takes one repeat out of the budget.
	 * @param now the present time
	 * @return whether the repeat may be sent
	 */
	boolean tryRetry(Instant now) {
		Bucket currentBucket = currentBucket(now);
		int requests = 0;
		int retries = 0;
		for (Bucket bucket : this.buckets) {
			requests += bucket.requests;
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
	 * What was counted within one part of the window.
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
