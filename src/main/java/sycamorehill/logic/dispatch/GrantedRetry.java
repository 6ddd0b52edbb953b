package sycamorehill.logic.dispatch;

import java.time.Instant;

/**
 * A retry that a budget has allowed. The budget counts it until a window after its
 * arrival at a target: bytes that a network partition holds up arrive when it ends.
 */
final class GrantedRetry {

	private Instant latestArrival;

	private boolean arrived;

	private GrantedRetry(Instant latestArrival) {
		this.latestArrival = latestArrival;
	}

	/**
	 * Creates a retry that is about to be sent.
	 * @param latestArrival when it is cancelled if no answer has begun
	 * @return the retry
	 */
	static GrantedRetry arrivingUntil(Instant latestArrival) {
		return new GrantedRetry(latestArrival);
	}

	/**
	 * Records that the retry has arrived, or never will because it was cancelled.
	 * @param now the current time
	 */
	void recordArrival(Instant now) {
		if (!this.arrived) {
			this.arrived = true;
			this.latestArrival = now;
		}
	}

	boolean hasArrived() {
		return this.arrived;
	}

	Instant latestArrival() {
		return this.latestArrival;
	}

}
