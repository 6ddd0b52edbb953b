package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the loads from the weight store that begin within a window, over all engines.
 */
final class LoadBudget {

	/** Part of the bound that is used: loads may begin a little after their order. */
	private static final double PART = 0.85;

	private final Duration window;

	private final Deque<Instant> begun = new ArrayDeque<>();

	private LoadBudget(Duration window) {
		this.window = window;
	}

	static LoadBudget of(Duration window) {
		return new LoadBudget(window);
	}

	boolean allows(int loads, double loadsPerSecond, Instant now) {
		while (!this.begun.isEmpty() && this.begun.peekFirst().plus(this.window).isBefore(now)) {
			this.begun.removeFirst();
		}
		double most = loadsPerSecond * this.window.toMillis() / 1000.0 * PART;
		return loads == 0 || this.begun.size() + loads <= most;
	}

	void begin(int loads, Instant now) {
		for (int load = 0; load < loads; load++) {
			this.begun.addLast(now);
		}
	}

}
