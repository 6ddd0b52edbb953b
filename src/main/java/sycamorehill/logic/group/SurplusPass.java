package sycamorehill.logic.group;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupSetName;

/**
 * Drains the groups that the truth no longer asks for.
 */
final class SurplusPass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		Set<GroupSetName> wanted = context.shapes()
			.stream()
			.map((shape) -> shape.set().name())
			.collect(Collectors.toSet());
		for (GroupRecord record : draft.groups()) {
			if (!wanted.contains(record.identity().name().set())) {
				drain(draft, record, "no ticket asks for the set any more");
			}
		}
		for (GroupShape shape : context.shapes()) {
			drainSurplus(draft, context, shape);
		}
	}

	private static void drainSurplus(AllocationDraft draft, PlanContext context, GroupShape shape) {
		List<GroupRecord> staying = GroupPlanner.byWorth(draft, context, shape)
			.stream()
			.filter((record) -> record.phase() != GroupPhase.DRAINING)
			.toList();
		int allowed = shape.set().groups() + (buildsReplacement(staying, shape) ? 1 : 0);
		for (GroupRecord record : staying.subList(Math.min(allowed, staying.size()), staying.size())) {
			drain(draft, record, "ticket " + shape.ticket() + " asks for " + shape.set().groups() + " groups");
		}
	}

	// A group of the new shape that is built next to one of the old shape is no surplus
	// before it serves. One whose load failed stays too: its record holds the reason, and
	// the change stops at it.
	private static boolean buildsReplacement(List<GroupRecord> staying, GroupShape shape) {
		boolean building = staying.stream()
			.anyMatch((record) -> record.phase() != GroupPhase.SERVING && shape.fits(record));
		return building && staying.stream().anyMatch((record) -> !shape.fits(record));
	}

	private static void drain(AllocationDraft draft, GroupRecord record, String reason) {
		if (record.phase() != GroupPhase.DRAINING) {
			draft.replace(record.withPhase(GroupPhase.DRAINING, reason));
		}
	}

}
