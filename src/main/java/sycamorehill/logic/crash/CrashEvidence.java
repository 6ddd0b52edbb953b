package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Holds which targets were lost while they ran requests, as far as any node has told, and
 * what these requests have in common.
 */
final class CrashEvidence {

	/** Maximum number of lost targets kept; the oldest is evicted first. */
	private static final int MAXIMUM_LOSSES = 300;

	/**
	 * How long a crash is kept after a request that it is held against was last seen.
	 */
	private static final Duration RETENTION_TIME = Duration.ofMinutes(30);

	/**
	 * How long the end of a process may take to be known: its entry expires within
	 * seconds, or is checked only after an outage of the store.
	 */
	private static final Duration UNDECIDED_RETENTION_TIME = Duration.ofMinutes(1);

	private final Map<TargetIncarnation, TargetLoss> losses = new HashMap<>();

	private final SoundTraits soundTraits = SoundTraits.create();

	/** When processes that had been lost were last known to be alive. */
	private final Map<TargetIncarnation, Instant> aliveAt = new HashMap<>();

	private List<CrashCause> causes = List.of();

	private CrashEvidence() {
	}

	static CrashEvidence create() {
		return new CrashEvidence();
	}

	/**
	 * Adds a loss, or what is new about it.
	 * @param told the loss
	 */
	void add(TargetLoss told) {
		Instant alive = this.aliveAt.getOrDefault(told.target(), Instant.MIN);
		told.lostAfter(alive).map((loss) -> loss.withRuns(this.soundTraits::removeSound)).ifPresent((loss) -> {
			this.losses.merge(loss.target(), loss, TargetLoss::merge);
			evict();
			updateCauses();
		});
	}

	private void evict() {
		if (this.losses.size() > MAXIMUM_LOSSES) {
			this.losses.values()
				.stream()
				.min(Comparator.comparing(TargetLoss::crashed).thenComparing(TargetLoss::seenAt))
				.ifPresent((oldest) -> this.losses.remove(oldest.target()));
		}
	}

	private void updateCauses() {
		this.causes = CrashCauseFinder.find(this.losses.values().stream().filter(TargetLoss::crashed).toList());
	}

	Optional<TargetLoss> find(TargetIncarnation target) {
		return Optional.ofNullable(this.losses.get(target));
	}

	/**
	 * Records that a lost process has ended.
	 * @param target the process
	 */
	void recordCrash(TargetIncarnation target) {
		this.losses.computeIfPresent(target, (key, loss) -> loss.asCrash());
		updateCauses();
	}

	/**
	 * Records that a process that had been lost was alive later.
	 * @param target the process
	 * @param at when it was alive
	 */
	void recordAlive(TargetIncarnation target, Instant at) {
		this.aliveAt.put(target, at);
		this.losses.computeIfPresent(target, (key, loss) -> loss.lostAfter(at).orElse(null));
		updateCauses();
	}

	/**
	 * Records that requests with some properties were run without a crash. They can't
	 * have caused a loss before that.
	 * @param traits the properties
	 * @param at when their targets began to run them, at the earliest
	 * @return the properties that were suspect
	 */
	Set<RequestTrait> recordSound(Set<RequestTrait> traits, Instant at) {
		Set<RequestTrait> cleared = new HashSet<>();
		this.losses.replaceAll((target, loss) -> {
			Set<RequestTrait> before = loss.traits();
			TargetLoss left = loss.withRuns((run) -> at.isBefore(run.lostAt()) ? run : run.without(traits));
			before.removeAll(left.traits());
			cleared.addAll(before);
			return left;
		});
		this.soundTraits.record(traits, at);
		if (!cleared.isEmpty()) {
			updateCauses();
		}
		return cleared;
	}

	/**
	 * Finds why a request must not run.
	 * @param traits the request's properties
	 * @param now the current time
	 * @return the cause of crashes that it has in common with others; empty if there is
	 * none
	 */
	Optional<CrashCause> findCause(Set<RequestTrait> traits, Instant now) {
		Optional<CrashCause> found = this.causes.stream().filter((cause) -> cause.matches(traits)).findFirst();
		found.ifPresent((cause) -> cause.losses()
			.forEach((explained) -> this.losses.computeIfPresent(explained.target(), (key, loss) -> loss.seen(now))));
		return found;
	}

	/**
	 * Drops what is too old.
	 * @param now the current time
	 */
	void expire(Instant now) {
		this.aliveAt.values().removeIf((alive) -> now.isAfter(alive.plus(RETENTION_TIME)));
		if (this.losses.values().removeIf((loss) -> isExpired(loss, now))) {
			updateCauses();
		}
	}

	private static boolean isExpired(TargetLoss loss, Instant now) {
		return now.isAfter(loss.seenAt().plus(loss.crashed() ? RETENTION_TIME : UNDECIDED_RETENTION_TIME));
	}

	Collection<TargetLoss> losses() {
		return List.copyOf(this.losses.values());
	}

	List<CrashCause> causes() {
		return this.causes;
	}

	boolean isEmpty() {
		return this.losses.isEmpty();
	}

}
