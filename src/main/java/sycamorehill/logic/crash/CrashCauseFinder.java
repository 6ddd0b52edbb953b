package sycamorehill.logic.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.serving.RequestTrait;

/**
 * Finds what the requests that ran on crashed targets have in common.
 */
final class CrashCauseFinder {

	/**
	 * Number of targets that must have crashed with a content; one or two may be
	 * coincidence.
	 */
	static final int MINIMUM_CRASHES_OF_CONTENT = 3;

	private CrashCauseFinder() {
	}

	/**
	 * Finds the causes of crashes. The property with the most crashes is taken first,
	 * together with all that occur wherever it does; the crashes that it explains are not
	 * held against any other property.
	 * @param crashes the crashed targets
	 * @return the causes
	 */
	static List<CrashCause> find(Collection<TargetLoss> crashes) {
		List<CrashCause> causes = new ArrayList<>();
		List<TargetLoss> unexplained = new ArrayList<>(crashes);
		for (Optional<RequestTrait> trait = mostSuspect(unexplained); trait
			.isPresent(); trait = mostSuspect(unexplained)) {
			Set<RequestTrait> common = commonTraits(trait.get(), unexplained);
			List<TargetLoss> explained = unexplained.stream().filter((loss) -> loss.hasRunWith(common)).toList();
			causes.add(new CrashCause(common, explained));
			unexplained.removeAll(explained);
		}
		return causes;
	}

	private static Optional<RequestTrait> mostSuspect(List<TargetLoss> crashes) {
		Map<RequestTrait, Integer> counts = new HashMap<>();
		crashes.forEach((loss) -> loss.traits().forEach((trait) -> counts.merge(trait, 1, Integer::sum)));
		return counts.entrySet()
			.stream()
			.filter((count) -> count.getValue() >= MINIMUM_CRASHES_OF_CONTENT)
			.max(Comparator.<Map.Entry<RequestTrait, Integer>>comparingInt(Map.Entry::getValue)
				.thenComparing((count) -> count.getKey().toString()))
			.map(Map.Entry::getKey);
	}

	// Properties that always come together can't be told apart. Only requests that have
	// all of them are refused: those with some of them show which one is the cause.
	private static Set<RequestTrait> commonTraits(RequestTrait trait, List<TargetLoss> crashes) {
		Set<RequestTrait> common = null;
		for (TargetLoss loss : crashes) {
			for (LostRun run : loss.runs().values()) {
				if (run.traits().contains(trait)) {
					if (common == null) {
						common = new HashSet<>(run.traits());
					}
					common.retainAll(run.traits());
				}
			}
		}
		return common;
	}

}
