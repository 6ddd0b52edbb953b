package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import sycamorehill.model.serving.RequestTrait;

/**
 * Finds what the requests that ran on crashed targets have in common.
 *
 * Sound requests that run beside the one that crashes a target share most of their
 * properties with each other and with it. Their properties are cleared by the next of
 * them that runs elsewhere; what is left after several crashes is the cause.
 */
final class CrashCauseFinder {

	/**
	 * Number of crashes from which on a property is the cause; one or two may be
	 * coincidence.
	 */
	static final int MINIMUM_CRASHES = 3;

	/**
	 * Number of crashes for a part of prompts that has been sound before. It may crash
	 * targets since they have other software, but has most likely run beside the cause.
	 */
	static final int MINIMUM_CRASHES_OF_SOUND_PART = 4;

	/**
	 * Crashes within this time count as one for a part of prompts that was sound before,
	 * or if targets without it crashed as well: a fabric domain that fails ends all of
	 * its targets, and most of them run requests with the common parts.
	 */
	private static final Duration COMMON_FAILURE_TIME = Duration.ofMillis(200);

	/**
	 * Time after the last necessary crash in which a sound part of prompts is cleared by
	 * other requests.
	 */
	private static final Duration CLEARING_TIME = Duration.ofMillis(300);

	private final Predicate<RequestTrait> hasBeenSound;

	private final Instant now;

	private boolean waiting;

	private CrashCauseFinder(Predicate<RequestTrait> hasBeenSound, Instant now) {
		this.hasBeenSound = hasBeenSound;
		this.now = now;
	}

	/**
	 * Creates a finder.
	 * @param hasBeenSound tells whether requests with a property ran without a crash
	 * before
	 * @param now the current time
	 * @return the finder
	 */
	static CrashCauseFinder of(Predicate<RequestTrait> hasBeenSound, Instant now) {
		return new CrashCauseFinder(hasBeenSound, now);
	}

	/**
	 * Finds the causes of crashes. The property that is most suspect is taken first,
	 * together with all that occur wherever it does; the crashes that it explains are not
	 * held against any other property.
	 * @param crashes the crashed targets
	 * @return the causes
	 */
	List<CrashCause> find(Collection<TargetLoss> crashes) {
		List<CrashCause> causes = new ArrayList<>();
		List<TargetLoss> unexplained = new ArrayList<>(crashes);
		for (Optional<Suspect> suspect = findMostSuspect(unexplained); suspect
			.isPresent(); suspect = findMostSuspect(unexplained)) {
			Set<RequestTrait> common = suspect.get().commonTraits();
			List<TargetLoss> explained = unexplained.stream().filter((loss) -> loss.hasRunWith(common)).toList();
			causes.add(CrashCause.of(common, explained));
			unexplained.removeAll(explained);
		}
		return causes;
	}

	/**
	 * Finds the contents that have crashed enough targets by themselves, whatever else
	 * explains the crashes: only their own caller repeats them. Contents that were sound
	 * before are left out, as these run beside causes again and again.
	 * @param crashes the crashed targets
	 * @return the causes
	 */
	List<CrashCause> findContents(Collection<TargetLoss> crashes) {
		Map<RequestTrait, Integer> counts = countTraits(crashes);
		return counts.entrySet()
			.stream()
			.filter((count) -> count.getValue() >= MINIMUM_CRASHES)
			.map(Map.Entry::getKey)
			.filter((trait) -> trait.kind() == RequestTrait.Kind.CONTENT && !this.hasBeenSound.test(trait))
			.map((trait) -> Suspect.of(trait, crashes))
			.map((suspect) -> CrashCause.of(suspect.commonTraits(), suspect.crashes()))
			.toList();
	}

	private static Map<RequestTrait, Integer> countTraits(Collection<TargetLoss> crashes) {
		Map<RequestTrait, Integer> counts = new HashMap<>();
		crashes.forEach((loss) -> loss.traits().forEach((trait) -> counts.merge(trait, 1, Integer::sum)));
		return counts;
	}

	private Optional<Suspect> findMostSuspect(List<TargetLoss> crashes) {
		return countTraits(crashes).entrySet()
			.stream()
			.filter((count) -> count.getValue() >= MINIMUM_CRASHES)
			.map((count) -> Suspect.of(count.getKey(), crashes))
			.filter(this::isCause)
			.max(this::compare);
	}

	// Of equally suspect properties the one in fewer requests explains as much with less.
	private int compare(Suspect one, Suspect other) {
		return Comparator.<Suspect, Boolean>comparing((suspect) -> !this.hasBeenSound.test(suspect.trait()))
			.thenComparingInt((suspect) -> crashTimes(suspect).size())
			.thenComparingLong((suspect) -> -suspect.runs().count())
			.thenComparing((suspect) -> suspect.trait().toString())
			.compare(one, other);
	}

	private boolean isCause(Suspect suspect) {
		boolean isPart = suspect.trait().kind() == RequestTrait.Kind.PROMPT_PART;
		int minimum = minimumCrashes(suspect.trait());
		List<Instant> crashes = crashTimes(suspect);
		if (crashes.size() < minimum) {
			return false;
		}
		boolean mayBeCleared = isPart && this.now.isBefore(crashes.get(minimum - 1).plus(CLEARING_TIME));
		this.waiting |= mayBeCleared;
		return !mayBeCleared;
	}

	private int minimumCrashes(RequestTrait trait) {
		boolean soundPart = trait.kind() == RequestTrait.Kind.PROMPT_PART && this.hasBeenSound.test(trait);
		return soundPart ? MINIMUM_CRASHES_OF_SOUND_PART : MINIMUM_CRASHES;
	}

	/**
	 * Returns how many crashes keep a cause that was found.
	 * @param traits the properties of the cause
	 * @return the number of crashes
	 */
	int minimumCrashes(Set<RequestTrait> traits) {
		return traits.stream().mapToInt(this::minimumCrashes).min().orElse(MINIMUM_CRASHES);
	}

	// A sound request that runs beside the cause is sent again, by a node or by its
	// caller,
	// and may be lost with several targets; the cause comes in many requests.
	private List<Instant> crashTimes(Suspect suspect) {
		if (suspect.trait().kind() == RequestTrait.Kind.CONTENT) {
			return suspect.crashes().stream().map(TargetLoss::lostAt).toList();
		}
		List<Instant> times = new ArrayList<>();
		Set<Set<RequestTrait>> contents = new HashSet<>();
		for (TargetLoss loss : suspect.crashes()) {
			boolean newContent = contents.addAll(suspect.runs(loss).map(LostRun::identity).toList());
			boolean sameFailure = !times.isEmpty() && isSameFailure(suspect, times.get(times.size() - 1), loss);
			if (newContent && !sameFailure) {
				times.add(loss.lostAt());
			}
		}
		return times;
	}

	private boolean isSameFailure(Suspect suspect, Instant before, TargetLoss loss) {
		return isClose(before, loss.lostAt()) && (this.hasBeenSound.test(suspect.trait())
				|| suspect.others().stream().anyMatch((other) -> isClose(other.lostAt(), loss.lostAt())));
	}

	private static boolean isClose(Instant one, Instant other) {
		return Duration.between(one, other).abs().compareTo(COMMON_FAILURE_TIME) < 0;
	}

	/**
	 * Returns whether more may be found a little later.
	 * @return true if a property may still be cleared that would be a cause
	 */
	boolean isWaiting() {
		return this.waiting;
	}

	/**
	 * A property of runs on crashed targets.
	 *
	 * @param trait the property
	 * @param crashes the crashed targets that ran requests with it
	 * @param others the other crashed targets
	 */
	private record Suspect(RequestTrait trait, List<TargetLoss> crashes, List<TargetLoss> others) {

		static Suspect of(RequestTrait trait, Collection<TargetLoss> all) {
			Map<Boolean, List<TargetLoss>> crashes = all.stream()
				.sorted(Comparator.comparing(TargetLoss::lostAt))
				.collect(Collectors.partitioningBy((loss) -> loss.traits().contains(trait)));
			return new Suspect(trait, crashes.get(true), crashes.get(false));
		}

		Stream<LostRun> runs() {
			return this.crashes.stream().flatMap(this::runs);
		}

		Stream<LostRun> runs(TargetLoss loss) {
			return loss.runs().values().stream().filter((run) -> run.traits().contains(this.trait));
		}

		// Properties that always come together can't be told apart. Only requests that
		// have all of them are refused: those with some of them show which is the cause.
		Set<RequestTrait> commonTraits() {
			Set<RequestTrait> common = new HashSet<>();
			runs().findFirst().ifPresent((run) -> common.addAll(run.traits()));
			runs().forEach((run) -> common.retainAll(run.traits()));
			return common;
		}

	}

}
