package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;

/**
 * Tracks whether this node reaches any target. The status of each single target doesn't
 * show that it is the node that has lost its network path.
 */
final class TargetReachability {

	/** Number of distinct targets whose failures are logged together. */
	private static final int MINIMUM_FAILED_TARGETS = 3;

	/** How long a failure counts. */
	private static final Duration FAILURE_VALIDITY = Duration.ofSeconds(1);

	private final Map<TargetName, Instant> failures = new HashMap<>();

	private Instant lastReachedAt;

	private boolean unreached;

	private TargetReachability(Instant lastReachedAt) {
		this.lastReachedAt = lastReachedAt;
	}

	static TargetReachability create() {
		return new TargetReachability(Instant.MIN);
	}

	/**
	 * Records that a target could not be connected, or that its connection was lost.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void recordFailure(TargetName target, Instant now, Effects effects) {
		this.failures.values().removeIf((at) -> now.isAfter(at.plus(FAILURE_VALIDITY)));
		this.failures.put(target, now);
		if (!this.unreached && this.failures.size() >= MINIMUM_FAILED_TARGETS) {
			this.unreached = true;
			effects.log(LogEvent.TARGETS_UNREACHED,
					"failed-targets=" + this.failures.size() + " last-reached-millis-ago=" + millisSinceReached(now));
		}
	}

	/**
	 * Records that a target was connected or has answered.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void recordReached(TargetName target, Instant now, Effects effects) {
		if (this.unreached) {
			this.unreached = false;
			effects.log(LogEvent.TARGETS_REACHED,
					"target=" + target + " last-reached-millis-ago=" + millisSinceReached(now));
		}
		this.failures.clear();
		this.lastReachedAt = now;
	}

	private long millisSinceReached(Instant now) {
		return (this.lastReachedAt == Instant.MIN) ? -1 : Duration.between(this.lastReachedAt, now).toMillis();
	}

}
