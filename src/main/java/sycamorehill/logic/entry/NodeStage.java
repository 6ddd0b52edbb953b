package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells how far a node has come between its start and its stop.
 */
final class NodeStage {

	private boolean configured;

	private boolean targetsListed;

	private Instant stopRequestedAt;

	void markConfigured() {
		this.configured = true;
	}

	void markTargetsListed() {
		this.targetsListed = true;
	}

	void requestStop(Instant now) {
		this.stopRequestedAt = now;
	}

	/**
	 * Returns whether the node knows its configuration and the targets.
	 * @return true if it can serve requests
	 */
	boolean isInitialized() {
		return this.configured && this.targetsListed;
	}

	boolean isStopping() {
		return this.stopRequestedAt != null;
	}

	boolean isStoppingLongerThan(Duration time, Instant now) {
		return isStopping() && now.isAfter(this.stopRequestedAt.plus(time));
	}

}
