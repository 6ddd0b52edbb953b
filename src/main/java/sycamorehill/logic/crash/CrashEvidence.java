package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

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
	 * Number of targets that were lost with a property from which on a lost request is
	 * not sent to another one.
	 */
	private static final int MINIMUM_RISKY_LOSSES = 2;

	/** The same for a property that was sound before. */
	private static final int MINIMUM_RISKY_LOSSES_OF_SOUND = 3;

	/** Number of targets that were lost with a content from which on it is suspect. */
	private static final int MINIMUM_SUSPECT_LOSSES = 1;

	/** The same for a content that was sound before. */
	private static final int MINIMUM_SUSPECT_LOSSES_OF_SOUND = 2;

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

	private final StandingCauses standingCauses = StandingCauses.create();

	private List<CrashCause> causes = List.of();

	/** Whether the causes may have changed since they were last found. */
	private boolean stale;

	/** All properties that are suspect of a loss, and some that were. */
	private Set<RequestTrait> suspectTraits = new HashSet<>();

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
			this.suspectTraits.addAll(loss.traits());
			this.stale = true;
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

	/**
	 * Returns what crashed targets, as far as it is known now.
	 * @param now the current time
	 * @return the causes
	 */
	List<CrashCause> causes(Instant now) {
		if (this.stale) {
			CrashCauseFinder finder = CrashCauseFinder.of(this::hasBeenSound, now);
			List<TargetLoss> crashes = this.losses.values().stream().filter(TargetLoss::crashed).toList();
			this.causes = this.standingCauses.update(finder, crashes);
			this.stale = finder.isWaiting();
			this.suspectTraits = this.losses.values()
				.stream()
				.flatMap((loss) -> loss.traits().stream())
				.collect(Collectors.toSet());
		}
		return this.causes;
	}

	/**
	 * Returns whether requests with some properties are refused.
	 * @param traits the properties
	 * @param now the current time
	 * @return true if these are a cause
	 */
	boolean isCause(Set<RequestTrait> traits, Instant now) {
		return causes(now).stream().anyMatch((cause) -> cause.traits().equals(traits));
	}

	Optional<TargetLoss> find(TargetIncarnation target) {
		return Optional.ofNullable(this.losses.get(target));
	}

	/**
	 * Returns whether a target was lost of which it is not known whether it has crashed.
	 * @param target the process
	 * @return true if it was lost and not decided
	 */
	boolean isUndecided(TargetIncarnation target) {
		return find(target).filter((loss) -> !loss.crashed()).isPresent();
	}

	/**
	 * Finds the targets that were lost with a property.
	 * @param trait the property
	 * @return the losses, decided or not
	 */
	List<TargetLoss> findLosses(RequestTrait trait) {
		return this.losses.values().stream().filter((loss) -> loss.hasRunWith(Set.of(trait))).toList();
	}

	/**
	 * Counts the targets that crashed while they ran requests with some properties,
	 * whatever else they ran.
	 * @param traits the properties
	 * @return the number of targets
	 */
	long countCrashes(Set<RequestTrait> traits) {
		return this.losses.values().stream().filter((loss) -> loss.crashed() && loss.hasRunWith(traits)).count();
	}

	/**
	 * Records that a lost process has ended.
	 * @param target the process
	 */
	void recordCrash(TargetIncarnation target) {
		this.losses.computeIfPresent(target, (key, loss) -> loss.asCrash());
		this.stale = true;
	}

	/**
	 * Records that a process that had been lost was alive later.
	 * @param target the process
	 * @param at when it was alive
	 */
	void recordAlive(TargetIncarnation target, Instant at) {
		this.aliveAt.put(target, at);
		this.losses.computeIfPresent(target, (key, loss) -> loss.lostAfter(at).orElse(null));
		this.stale = true;
	}

	/**
	 * Records that requests with some properties were run without a crash. They can't
	 * have caused a loss before that.
	 * @param traits the properties
	 * @param at when their targets began to run them, at the earliest
	 * @return the properties that were suspect
	 */
	Set<RequestTrait> recordSound(Set<RequestTrait> traits, Instant at) {
		this.soundTraits.record(traits, at);
		if (Collections.disjoint(this.suspectTraits, traits)) {
			return Set.of();
		}
		Set<RequestTrait> cleared = new HashSet<>();
		this.losses.replaceAll((target, loss) -> {
			Set<RequestTrait> before = loss.traits();
			TargetLoss left = loss.withRuns((run) -> at.isBefore(run.lostAt()) ? run : run.without(traits));
			before.removeAll(left.traits());
			cleared.addAll(before);
			return left;
		});
		if (!cleared.isEmpty()) {
			this.stale = true;
		}
		return cleared;
	}

	/**
	 * Returns whether requests with a property are known to have run without a crash, be
	 * it before or after losses.
	 * @param trait the property
	 * @return true if they are
	 */
	boolean hasBeenSound(RequestTrait trait) {
		return this.soundTraits.soundAt(trait).isPresent();
	}

	/**
	 * Records which properties another node knows to have been sound, it is not told
	 * when.
	 * @param traits the properties
	 */
	void recordSoundOnce(Set<RequestTrait> traits) {
		this.soundTraits.record(traits, Instant.MIN);
	}

	/**
	 * Returns whether targets may crash under a request: several were lost with a
	 * property of it that is not known to be sound.
	 * @param traits the request's properties
	 * @return true if another target must not be risked
	 */
	boolean isRisky(Set<RequestTrait> traits) {
		return traits.stream().filter(this.suspectTraits::contains).anyMatch(this::isRisky);
	}

	private boolean isRisky(RequestTrait trait) {
		List<TargetLoss> lost = findLosses(trait);
		int minimum = hasBeenSound(trait) ? MINIMUM_RISKY_LOSSES_OF_SOUND : MINIMUM_RISKY_LOSSES;
		return lost.size() >= minimum && lost.stream().anyMatch(TargetLoss::crashed);
	}

	/**
	 * Returns whether a content was lost with so many targets that its next run shall
	 * show whether it crashes them.
	 * @param content the content
	 * @return true if it was, and has not run without a crash since
	 */
	boolean isSuspect(RequestTrait content) {
		int minimum = hasBeenSound(content) ? MINIMUM_SUSPECT_LOSSES_OF_SOUND : MINIMUM_SUSPECT_LOSSES;
		return this.suspectTraits.contains(content) && findLosses(content).size() >= minimum;
	}

	/**
	 * Returns whether a content that never ran without a crash would be a cause if all
	 * targets that were lost with it had crashed, as one is known to have.
	 * @param content the content
	 * @return true if it would be
	 */
	boolean mayBeCause(RequestTrait content) {
		if (!this.suspectTraits.contains(content) || hasBeenSound(content)) {
			return false;
		}
		List<TargetLoss> lost = findLosses(content);
		return lost.size() >= CrashCauseFinder.MINIMUM_CRASHES && lost.stream().anyMatch(TargetLoss::crashed);
	}

	/**
	 * Returns whether targets were lost with a content of which it is not known whether
	 * they have crashed.
	 * @param content the content
	 * @return true if one of them is undecided
	 */
	boolean hasUndecided(RequestTrait content) {
		return this.suspectTraits.contains(content) && findLosses(content).stream().anyMatch((loss) -> !loss.crashed());
	}

	/**
	 * Finds why a request must not run.
	 * @param traits the request's properties
	 * @param now the current time
	 * @return the cause of crashes that it has in common with others; empty if there is
	 * none
	 */
	Optional<CrashCause> findCause(Set<RequestTrait> traits, Instant now) {
		Optional<CrashCause> found = causes(now).stream().filter((cause) -> cause.matches(traits)).findFirst();
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
		this.stale |= this.losses.values().removeIf((loss) -> isExpired(loss, now));
	}

	private static boolean isExpired(TargetLoss loss, Instant now) {
		return now.isAfter(loss.seenAt().plus(loss.crashed() ? RETENTION_TIME : UNDECIDED_RETENTION_TIME));
	}

	Collection<TargetLoss> losses() {
		return List.copyOf(this.losses.values());
	}

	boolean isEmpty() {
		return this.losses.isEmpty();
	}

}
