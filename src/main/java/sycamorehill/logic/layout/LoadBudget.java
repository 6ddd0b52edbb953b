package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the loads from the weight store that start within a time window, over all
 * engines.
 */
final class LoadBudget {

	/**
	 * Share of the limit that is used, because a load may start a little later than its
	 * command is sent.
	 */
	private static final double USABLE_SHARE = 0.85;

	private final Duration window;

	private final Deque<Instant> startTimes = new ArrayDeque<>();

	private LoadBudget(Duration window) {
		this.window = window;
	}

	static LoadBudget of(Duration window) {
		return new LoadBudget(window);
	}

	boolean allows(int loads, double loadsPerSecond, Instant now) {
		while (!this.startTimes.isEmpty() && this.startTimes.peekFirst().plus(this.window).isBefore(now)) {
			this.startTimes.removeFirst();
		}
		return loads == 0 || this.startTimes.size() + loads <= maximum(loadsPerSecond);
	}

	private double maximum(double loadsPerSecond) {
		return loadsPerSecond * this.window.toMillis() / 1000.0 * USABLE_SHARE;
	}

	/**
	 * Leaves no load for the next window.
	 * @param loadsPerSecond the limit
	 * @param now the current time
	 */
	void recordUsedUp(double loadsPerSecond, Instant now) {
		recordStarted((int) Math.ceil(maximum(loadsPerSecond)), now);
	}

	void recordStarted(int loads, Instant now) {
		for (int load = 0; load < loads; load++) {
			this.startTimes.addLast(now);
		}
	}

}
