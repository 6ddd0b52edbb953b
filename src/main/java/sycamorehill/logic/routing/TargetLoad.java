package sycamorehill.logic.routing;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmSight;

/**
 * What this node itself has under way at one target, for what reports do not show yet.
 *
 * @param open when each open attempt was sent, by its number
 * @param closed when attempts sent earlier ended, of late
 * @param ratio smoothed measured over predicted time to the first token
 * @param duration smoothed seconds from sending to end
 * @param places requests that it ran at once when others queued, 0 while that was not
 * seen
 */
record TargetLoad(TreePMap<Long, Instant> open, PVector<Closed> closed, double ratio, double duration, int places) {

	private static final int KEPT_CLOSED = 64;

	private static final double GAIN = 0.2;

	private static final double SMALLEST_RATIO = 0.25;

	private static final double GREATEST_RATIO = 10;

	static TargetLoad none() {
		return new TargetLoad(TreePMap.empty(), TreePVector.empty(), 1, 1, 0);
	}

	TargetLoad sent(long attempt, Instant now, Optional<VmSight> sight) {
		int seen = sight.filter((found) -> found.report().queued() > 0)
			.map((found) -> found.report().running())
			.orElse(this.places);
		return new TargetLoad(this.open.plus(attempt, now), this.closed, this.ratio, this.duration, seen);
	}

	TargetLoad ended(long attempt, double seconds, Instant now) {
		Instant sentAt = this.open.get(attempt);
		if (sentAt == null) {
			return this;
		}
		PVector<Closed> kept = this.closed.plus(new Closed(sentAt, now));
		PVector<Closed> bounded = (kept.size() > KEPT_CLOSED) ? kept.minus(0) : kept;
		double smoothed = (seconds > 0) ? this.duration + GAIN * (seconds - this.duration) : this.duration;
		return new TargetLoad(this.open.minus(attempt), bounded, this.ratio, smoothed, this.places);
	}

	TargetLoad measured(double predicted, double seconds) {
		double now = Math.max(SMALLEST_RATIO, Math.min(GREATEST_RATIO, seconds / Math.max(predicted, 1e-6)));
		return new TargetLoad(this.open, this.closed, this.ratio + GAIN * (now - this.ratio), this.duration,
				this.places);
	}

	int outstanding() {
		return this.open.size();
	}

	/**
	 * Requests at the target now: the report's, and this node's own changes since.
	 * @param sight the last sight of its head
	 * @return the estimate
	 */
	int requests(Optional<VmSight> sight) {
		if (sight.isEmpty()) {
			return outstanding();
		}
		VmReport report = sight.get().report();
		int estimate = report.running() + report.queued() + sentSince(sight.get().seenAt())
				- endedSince(sight.get().seenAt());
		return Math.max(outstanding(), estimate);
	}

	/**
	 * Seconds that a request waits for a place: those ahead end one after another.
	 * @param sight the last sight of its head
	 * @return the wait, 0 while the target is not known to be full
	 */
	double wait(Optional<VmSight> sight) {
		int full = sight.filter((found) -> found.report().queued() > 0)
			.map((found) -> found.report().running())
			.orElse(this.places);
		int ahead = requests(sight) - full;
		return (full > 0 && ahead >= 0) ? (ahead + 1) * this.duration / full : 0;
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
		for (Closed one : this.closed) {
			if (one.endedAt().isAfter(seenAt) && !one.sentAt().isAfter(seenAt)) {
				count++;
			}
		}
		return count;
	}

	/**
	 * An attempt that ended.
	 *
	 * @param sentAt when it was sent
	 * @param endedAt when it ended
	 */
	record Closed(Instant sentAt, Instant endedAt) {
	}

}
