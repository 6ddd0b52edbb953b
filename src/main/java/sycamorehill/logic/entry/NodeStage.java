package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tells how far a node has come between its start and its stop.
 */
final class NodeStage {

	/**
	 * How long a node with configuration and targets waits for the evacuations. They are
	 * requested at the same time as the others, and a call fails after 0.8 s.
	 */
	static final Duration MAXIMUM_EVACUATIONS_WAIT = Duration.ofMillis(1000);

	private boolean configured;

	private boolean targetsListed;

	private boolean evacuationsAwaited;

	private Instant servableSince = Instant.MIN;

	private Instant stopRequestedAt;

	private StopTimes stopTimes;

	private NodeStage(StopTimes stopTimes) {
		this.stopTimes = stopTimes;
	}

	static NodeStage of(StopTimes stopTimes) {
		return new NodeStage(stopTimes);
	}

	void updateStopTimes(StopTimes changed) {
		this.stopTimes = changed;
	}

	/** Delays readiness until the evacuations are known. */
	void awaitEvacuations() {
		this.evacuationsAwaited = true;
	}

	void markEvacuationsKnown() {
		this.evacuationsAwaited = false;
	}

	/**
	 * Stops waiting for the evacuations if they are the only thing that is missing for
	 * too long.
	 * @param now the current time
	 * @return true if the node becomes ready without them now
	 */
	boolean stopAwaitingEvacuations(Instant now) {
		if (!this.evacuationsAwaited || !this.configured || !this.targetsListed) {
			return false;
		}
		if (this.servableSince == Instant.MIN) {
			this.servableSince = now;
		}
		this.evacuationsAwaited = now.isBefore(this.servableSince.plus(MAXIMUM_EVACUATIONS_WAIT));
		return !this.evacuationsAwaited;
	}

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
	 * Returns whether the node knows its configuration, the targets and, unless they
	 * didn't come in time, the evacuations.
	 * @return true if it can serve requests
	 */
	boolean isInitialized() {
		return this.configured && this.targetsListed && !this.evacuationsAwaited;
	}

	boolean isStopping() {
		return this.stopRequestedAt != null;
	}

	/**
	 * Returns whether the node still takes requests.
	 * @param now the current time
	 * @return false late in a planned stop
	 */
	boolean takesRequests(Instant now) {
		return !isStopping() || !now.isAfter(this.stopRequestedAt.plus(this.stopTimes.acceptance()));
	}

	/**
	 * Returns when a planned stop ends, by the present settings.
	 * @return the time; empty if the node isn't stopping
	 */
	Optional<Instant> endsAt() {
		return Optional.ofNullable(this.stopRequestedAt).map((requested) -> requested.plus(this.stopTimes.end()));
	}

}
