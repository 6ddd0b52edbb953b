package sycamorehill.logic.group;

import java.util.Comparator;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;

/**
 * Which groups of a set are given up last: whole ones of the right shape.
 */
final class GroupWorth {

	private GroupWorth() {
	}

	static Comparator<GroupRecord> order(PlanContext context, GroupShape shape) {
		return Comparator.comparing((GroupRecord record) -> record.phase() == GroupPhase.DRAINING)
			.thenComparing((record) -> !serves(record, context))
			.thenComparing((record) -> !shape.fits(record))
			.thenComparing((record) -> record.phase() == GroupPhase.FAILED)
			.thenComparing((record) -> record.identity().name());
	}

	static boolean serves(GroupRecord record, PlanContext context) {
		return record.phase() == GroupPhase.SERVING && context.whole(record);
	}

}
