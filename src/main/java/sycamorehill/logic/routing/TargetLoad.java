package sycamorehill.logic.routing;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;

/**
 * The load that this node puts on one target. It covers what the target's last report
 * does not include yet.
 *
 * @param open the sending times of the open attempts, by attempt number
 * @param closed the most recently closed attempts
 * @param ratio the smoothed ratio of the measured to the predicted time to the first
 * token
 * @param duration the smoothed duration of whole attempts in seconds
 * @param places the number of requests that the target ran when others were queued, 0 if
 * it was never seen full
 */
record TargetLoad(TreePMap<Long, Instant> open, PVector<ClosedAttempt> closed, double ratio, double duration,
		int places) {

	private static final int MAXIMUM_CLOSED_ATTEMPTS = 64;

	/** Weight of a new measurement in the smoothed values. */
	private static final double SMOOTHING_GAIN = 0.2;

	private static final double MINIMUM_RATIO = 0.25;

	private static final double MAXIMUM_RATIO = 10;

	static TargetLoad none() {
		return new TargetLoad(TreePMap.empty(), TreePVector.empty(), 1, 1, 0);
	}

	TargetLoad withSent(long attempt, Instant now, Optional<VmObservation> observation) {
		int observedPlaces = observation.filter((found) -> found.report().queued() > 0)
			.map((found) -> found.report().running())
			.orElse(this.places);
		return new TargetLoad(this.open.plus(attempt, now), this.closed, this.ratio, this.duration, observedPlaces);
	}

	TargetLoad withEnded(long attempt, double seconds, Instant now) {
		Instant sentAt = this.open.get(attempt);
		if (sentAt == null) {
			return this;
		}
		PVector<ClosedAttempt> kept = this.closed.plus(new ClosedAttempt(sentAt, now));
		PVector<ClosedAttempt> bounded = (kept.size() > MAXIMUM_CLOSED_ATTEMPTS) ? kept.minus(0) : kept;
		double smoothed = (seconds > 0) ? this.duration + SMOOTHING_GAIN * (seconds - this.duration) : this.duration;
		return new TargetLoad(this.open.minus(attempt), bounded, this.ratio, smoothed, this.places);
	}

	TargetLoad withMeasured(double predicted, double seconds) {
		double currentRatio = Math.max(MINIMUM_RATIO, Math.min(MAXIMUM_RATIO, seconds / Math.max(predicted, 1e-6)));
		return new TargetLoad(this.open, this.closed, this.ratio + SMOOTHING_GAIN * (currentRatio - this.ratio),
				this.duration, this.places);
	}

	int outstanding() {
		return this.open.size();
	}

	/**
	 * Estimates the requests at the target: those in its report, corrected by the
	 * attempts that this node has opened and closed since.
	 * @param observation the last observation of the target's head
	 * @return the estimate, at least the node's own open attempts
	 */
	int estimatedRequests(Optional<VmObservation> observation) {
		if (observation.isEmpty()) {
			return outstanding();
		}
		VmReport report = observation.get().report();
		int estimate = report.running() + report.queued() + sentSince(observation.get().seenAt())
				- endedSince(observation.get().seenAt());
		return Math.max(outstanding(), estimate);
	}

	/**
	 * Estimates how long a new request waits for a place if the requests ahead of it
	 * finish one after another.
	 * @param observation the last observation of the target's head
	 * @return the wait in seconds, 0 while the target is not known to be full
	 */
	double estimatedWait(Optional<VmObservation> observation) {
		int capacity = observation.filter((found) -> found.report().queued() > 0)
			.map((found) -> found.report().running())
			.orElse(this.places);
		int ahead = estimatedRequests(observation) - capacity;
		return (capacity > 0 && ahead >= 0) ? (ahead + 1) * this.duration / capacity : 0;
	}

	private int sentSince(Instant seenAt) {
		int count = 0;
		for (Instant sentAt : this.open.descendingMap().values()) {
			if (!sentAt.isAfter(seenAt)) {
				break;
			}
			count++;
		}
		return count;
	}

	private int endedSince(Instant seenAt) {
		int count = 0;
		for (ClosedAttempt attempt : this.closed) {
			if (attempt.endedAt().isAfter(seenAt) && !attempt.sentAt().isAfter(seenAt)) {
				count++;
			}
		}
		return count;
	}

	/**
	 * An attempt that was closed.
	 *
	 * @param sentAt when it was sent
	 * @param endedAt when it was closed
	 */
	record ClosedAttempt(Instant sentAt, Instant endedAt) {
	}

}
