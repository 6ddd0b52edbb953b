package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Limits the retries that this process sends to one service, so that all processes
 * together stay within the service's bound: in every window, a ratio of its requests plus
 * a fixed allowance that the nodes share.
 *
 * The requests of a window are half of those in it and half of those in the window that
 * begins half its length earlier. Of each window, all processes must count the same
 * requests: if a process that ends counted those before the window, and its successor
 * those in it, both together would send twice as many retries as allowed.
 */
final class SlidingWindowRetryBudget {

	private static final int BUCKETS_PER_WINDOW = 100;

	private static final int BUCKETS_PER_HALF = BUCKETS_PER_WINDOW / 2;

	private final Duration window;

	private final BucketCounts requests;

	private final List<GrantedRetry> retries = new ArrayList<>();

	private double ratio;

	private double allowance;

	private SlidingWindowRetryBudget(Duration window, double ratio, double allowance) {
		this.window = window;
		this.requests = BucketCounts.of(window.dividedBy(BUCKETS_PER_WINDOW),
				BUCKETS_PER_WINDOW + BUCKETS_PER_HALF + 1);
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
		this.requests.increment(now);
	}

	/**
	 * Takes one retry from the budget if there is one left.
	 * @param now the current time
	 * @param latestArrival when the retry is cancelled if no answer has begun
	 * @return the retry; empty if it may not be sent
	 */
	Optional<GrantedRetry> tryRetry(Instant now, Instant latestArrival) {
		Instant windowStart = now.minus(this.window);
		this.retries.removeIf((retry) -> retry.latestArrival().isBefore(windowStart));
		if (!allowsRetry(now)) {
			return Optional.empty();
		}
		GrantedRetry retry = GrantedRetry.arrivingUntil(latestArrival);
		this.retries.add(retry);
		return Optional.of(retry);
	}

	/**
	 * Puts back a retry that was not sent.
	 * @param retry the retry
	 */
	void putBack(GrantedRetry retry) {
		this.retries.remove(retry);
	}

	// Checks the windows that contain this moment by the bucket in which they begin, from
	// the newest to the oldest. A bucket that lies only partly in a window counts with
	// its retries and without its requests.
	private boolean allowsRetry(Instant now) {
		long newest = this.requests.bucket(now);
		int[] sent = countRetriesByAge(newest);
		int retries = 0;
		int inWindow = 0;
		int halfEarlier = this.requests.sum(newest - BUCKETS_PER_HALF + 1, newest + 1);
		for (int age = 0; age <= BUCKETS_PER_WINDOW; age++) {
			long first = newest - age;
			retries += sent[age];
			if (retries + 1 > this.ratio * (inWindow + halfEarlier) / 2 + this.allowance) {
				return false;
			}
			inWindow += this.requests.get(first);
			halfEarlier += this.requests.get(first - BUCKETS_PER_HALF)
					- this.requests.get(first + BUCKETS_PER_HALF - 1);
		}
		return true;
	}

	private int[] countRetriesByAge(long newest) {
		int[] counts = new int[BUCKETS_PER_WINDOW + 1];
		for (GrantedRetry retry : this.retries) {
			long age = newest - this.requests.bucket(retry.latestArrival());
			counts[(int) Math.max(0, Math.min(age, BUCKETS_PER_WINDOW))]++;
		}
		return counts;
	}

}
