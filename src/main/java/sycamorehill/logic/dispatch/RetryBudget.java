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
final class RetryBudget {

	private static final int PARTS = 10;

	private final Duration part;

	private double ratio;

	private double extra;

	private final Deque<Count> counts = new ArrayDeque<>();

	private RetryBudget(Duration window, double ratio, double extra) {
		this.part = window.dividedBy(PARTS);
		this.ratio = ratio;
		this.extra = extra;
	}

	/**
	 * Creates the budget.
	 * @param window length of the window
	 * @param ratio repeats allowed for each request
	 * @param extra repeats allowed besides, this node's part of them
	 * @return the budget
	 */
	static RetryBudget of(Duration window, double ratio, double extra) {
		return new RetryBudget(window, ratio, extra);
	}

	/**
	 * Changes the bounds.
	 * @param part repeats allowed for each request
	 * @param fixed repeats allowed besides, this node's part of them
	 */
	void bounds(double part, double fixed) {
		this.ratio = part;
		this.extra = fixed;
	}

	void request(Instant now) {
		current(now).requests++;
	}

	/**
	 * Takes one repeat out of the budget.
	 * @param now the present time
	 * @return whether the repeat may be sent
	 */
	boolean take(Instant now) {
		Count current = current(now);
		int requests = 0;
		int repeats = 0;
		for (Count count : this.counts) {
			requests += count.requests;
			repeats += count.repeats;
		}
		if (repeats + 1 > this.ratio * requests + this.extra) {
			return false;
		}
		current.repeats++;
		return true;
	}

	private Count current(Instant now) {
		while (!this.counts.isEmpty()
				&& this.counts.peekFirst().start.plus(this.part.multipliedBy(PARTS + 1)).isBefore(now)) {
			this.counts.removeFirst();
		}
		Count last = this.counts.peekLast();
		if (last == null || !last.start.plus(this.part).isAfter(now)) {
			last = new Count(now);
			this.counts.addLast(last);
		}
		return last;
	}

	/**
	 * What was counted within one part of the window.
	 */
	private static final class Count {

		private final Instant start;

		private int requests;

		private int repeats;

		Count(Instant start) {
			this.start = start;
		}

	}

}
