package sycamorehill.logic.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Keeps what was found to crash targets. A cause is dropped when its own crashes are no
 * longer held against it, because such requests have run or the targets are alive. That
 * another cause explains the same crashes drops nothing: both may crash targets, and
 * would be served by turns.
 */
final class StandingCauses {

	private List<CrashCause> causes = List.of();

	private StandingCauses() {
	}

	static StandingCauses create() {
		return new StandingCauses();
	}

	/**
	 * Adds the causes that are found now, and drops those without enough crashes.
	 * @param finder finds causes
	 * @param crashes the crashed targets
	 * @return the causes that stand
	 */
	List<CrashCause> update(CrashCauseFinder finder, Collection<TargetLoss> crashes) {
		List<CrashCause> standing = new ArrayList<>(finder.find(crashes));
		finder.findContents(crashes).forEach((cause) -> addUnlessCovered(cause, standing));
		for (CrashCause before : this.causes) {
			CrashCause recounted = recount(before, crashes);
			if (recounted.losses().size() >= finder.minimumCrashes(before.traits())) {
				addUnlessCovered(recounted, standing);
			}
		}
		this.causes = standing.stream().map((cause) -> compare(cause, standing, crashes)).toList();
		return this.causes;
	}

	// The crashes that a cause explains leave out those that were explained before it.
	private static CrashCause compare(CrashCause cause, List<CrashCause> standing, Collection<TargetLoss> crashes) {
		List<CrashCause> others = standing.stream().filter((other) -> other != cause).toList();
		return recount(cause, crashes).besides(others);
	}

	private static CrashCause recount(CrashCause cause, Collection<TargetLoss> crashes) {
		return CrashCause.of(cause.traits(),
				crashes.stream().filter((loss) -> loss.hasRunWith(cause.traits())).toList());
	}

	private static void addUnlessCovered(CrashCause cause, List<CrashCause> standing) {
		if (standing.stream().noneMatch((other) -> other.matches(cause.traits()))) {
			standing.add(cause);
		}
	}

}
