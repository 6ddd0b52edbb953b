package sycamorehill.standin;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Faults of the platform: at most one kind at a time.
 */
final class PlatformFaults {

	private FaultOrder order;

	private RandomGenerator draws;

	synchronized boolean fault(FaultOrder ordered) {
		switch (ordered.fault()) {
			case "outage", "slow", "lose-answers", "throttle" -> {
				this.order = ordered;
				this.draws = ordered.draws();
			}
			case FaultOrder.CLEAR -> {
				this.order = null;
			}
			default -> {
				return false;
			}
		}
		return true;
	}

	/**
	 * Draws the fault that hits the next call.
	 * @return the fault, if any hits it
	 */
	synchronized Optional<Hit> next() {
		if (this.order == null || this.draws.nextDouble() >= this.order.share()) {
			return Optional.empty();
		}
		return Optional.of(new Hit(this.order.fault(), Duration.ofMillis(this.order.milliseconds())));
	}

	/**
	 * A fault that hits one call.
	 *
	 * @param fault its kind
	 * @param delay how long a slow call waits
	 */
	record Hit(String fault, Duration delay) {

	}

}
