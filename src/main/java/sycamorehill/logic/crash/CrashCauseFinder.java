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
	static final int MINIMUM_CRASHES_OF_SOUND_PART = 5;

	/**
	 * Crashes within this time count as one for parts of prompts, which run on many
	 * targets at once: a fabric domain that fails ends all of its targets.
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
			causes.add(new CrashCause(common, explained));
			unexplained.removeAll(explained);
		}
		return causes;
	}

	private Optional<Suspect> findMostSuspect(List<TargetLoss> crashes) {
		Map<RequestTrait, Suspect> suspects = new HashMap<>();
		for (TargetLoss loss : crashes) {
			for (RequestTrait trait : loss.traits()) {
				suspects.computeIfAbsent(trait, (key) -> new Suspect(key, new ArrayList<>(), new ArrayList<>()))
					.add(loss);
			}
		}
		return suspects.values().stream().filter(this::isCause).max(this::compare);
	}

	// Of equally suspect properties the one in fewer requests explains as much with less.
	private int compare(Suspect one, Suspect other) {
		return Comparator.<Suspect, Boolean>comparing((suspect) -> !this.hasBeenSound.test(suspect.trait()))
			.thenComparingInt(Suspect::countCrashes)
			.thenComparingInt((suspect) -> -suspect.runs().size())
			.thenComparing((suspect) -> suspect.trait().toString())
			.compare(one, other);
	}

	private boolean isCause(Suspect suspect) {
		boolean isPart = suspect.trait().kind() == RequestTrait.Kind.PROMPT_PART;
		int minimum = (isPart && this.hasBeenSound.test(suspect.trait())) ? MINIMUM_CRASHES_OF_SOUND_PART
				: MINIMUM_CRASHES;
		List<Instant> crashes = suspect.crashTimes();
		if (crashes.size() < minimum) {
			return false;
		}
		boolean mayBeCleared = isPart && this.now.isBefore(crashes.get(minimum - 1).plus(CLEARING_TIME));
		this.waiting |= mayBeCleared;
		return !mayBeCleared;
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
	 * @param lostAt when each of the targets was lost
	 * @param runs the runs with the property
	 */
	private record Suspect(RequestTrait trait, List<Instant> lostAt, List<LostRun> runs) {

		void add(TargetLoss loss) {
			List<LostRun> lost = loss.runs()
				.values()
				.stream()
				.filter((run) -> run.traits().contains(this.trait))
				.toList();
			this.runs.addAll(lost);
			lost.stream().map(LostRun::lostAt).min(Comparator.naturalOrder()).ifPresent(this.lostAt::add);
		}

		int countCrashes() {
			return crashTimes().size();
		}

		List<Instant> crashTimes() {
			List<Instant> sorted = this.lostAt.stream().sorted().toList();
			if (this.trait.kind() == RequestTrait.Kind.CONTENT) {
				return sorted;
			}
			List<Instant> crashes = new ArrayList<>();
			for (Instant each : sorted) {
				if (crashes.isEmpty() || !each.isBefore(crashes.get(crashes.size() - 1).plus(COMMON_FAILURE_TIME))) {
					crashes.add(each);
				}
			}
			return crashes;
		}

		// Properties that always come together can't be told apart. Only requests that
		// have all of them are refused: those with some of them show which is the cause.
		Set<RequestTrait> commonTraits() {
			Set<RequestTrait> common = new HashSet<>(this.runs.get(0).traits());
			this.runs.forEach((run) -> common.retainAll(run.traits()));
			return common;
		}

	}

}
