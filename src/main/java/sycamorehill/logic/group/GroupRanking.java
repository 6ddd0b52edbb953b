package sycamorehill.logic.group;

import java.util.Comparator;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;

/**
 * Ranks the groups of a set: complete groups that match the specification are the last to
 * be removed.
 */
final class GroupRanking {

	private GroupRanking() {
	}

	static Comparator<GroupRecord> comparator(PlanContext context, GroupSpecification specification) {
		return Comparator.comparing((GroupRecord record) -> record.phase() == GroupPhase.DRAINING)
			.thenComparing((record) -> !isServing(record, context))
			.thenComparing((record) -> !specification.matches(record))
			.thenComparing((record) -> record.phase() == GroupPhase.FAILED)
			.thenComparing((record) -> record.identity().name());
	}

	static boolean isServing(GroupRecord record, PlanContext context) {
		return record.phase() == GroupPhase.SERVING && context.isComplete(record);
	}

}
