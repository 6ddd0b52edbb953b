package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import sycamorehill.model.serving.RequestTrait;

/**
 * Lets single requests through that are refused because such requests crashed targets. A
 * wrong refusal would never end while such requests come: none of them runs that could
 * show it to be wrong. Each trial that crashes another target doubles the time to the
 * next one.
 */
final class CrashTrials {

	private static final Duration MINIMUM_INTERVAL = Duration.ofMinutes(10);

	/** The same for a cause whose crashes others explain as well. */
	private static final Duration MINIMUM_INTERVAL_BESIDE_OTHERS = Duration.ofSeconds(10);

	/** Maximum number of times that the interval is doubled. */
	private static final int MAXIMUM_DOUBLINGS = 4;

	/**
	 * Maximum random delay of a trial at this node, so that two nodes rarely try at the
	 * same moment.
	 */
	private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(30);

	private final RandomGenerator random;

	private final Map<Set<RequestTrait>, Instant> triedAt = new HashMap<>();

	/** The delays of this node's next trials, as shares of the maximum. */
	private final Map<Set<RequestTrait>, Double> delays = new HashMap<>();

	private CrashTrials(RandomGenerator random) {
		this.random = random;
	}

	static CrashTrials of(RandomGenerator random) {
		return new CrashTrials(random);
	}

	/**
	 * Returns whether a request may run although it is held to crash targets.
	 * @param cause why it is refused
	 * @param now the current time
	 * @return true if a trial is due
	 */
	boolean isDue(CrashCause cause, Instant now) {
		Instant lastCrash = cause.losses().stream().map(TargetLoss::lostAt).max(Comparator.naturalOrder()).orElse(now);
		Instant lastTrial = this.triedAt.getOrDefault(cause.traits(), lastCrash);
		Instant last = lastTrial.isAfter(lastCrash) ? lastTrial : lastCrash;
		int doublings = Math.min(MAXIMUM_DOUBLINGS,
				Math.max(0, cause.losses().size() - CrashCauseFinder.MINIMUM_CRASHES));
		Duration interval = cause.explainedByOthers() ? MINIMUM_INTERVAL_BESIDE_OTHERS : MINIMUM_INTERVAL;
		return !now.isBefore(last.plus(interval.multipliedBy(1L << doublings)).plus(delay(cause.traits(), interval)));
	}

	private Duration delay(Set<RequestTrait> traits, Duration interval) {
		double share = this.delays.computeIfAbsent(traits, (key) -> this.random.nextDouble());
		Duration maximum = (interval.compareTo(MAXIMUM_DELAY) < 0) ? interval : MAXIMUM_DELAY;
		return Duration.ofMillis((long) (share * maximum.toMillis()));
	}

	/**
	 * Records that a request with some properties may run, here or at another node.
	 * @param traits the properties
	 * @param at when it was let through
	 */
	void record(Set<RequestTrait> traits, Instant at) {
		this.triedAt.put(traits, at);
		this.delays.remove(traits);
	}

	/**
	 * Forgets the trials of what is no longer refused.
	 * @param refused the properties of each cause
	 */
	void retain(Set<Set<RequestTrait>> refused) {
		this.triedAt.keySet().retainAll(refused);
		this.delays.keySet().retainAll(refused);
	}

}
