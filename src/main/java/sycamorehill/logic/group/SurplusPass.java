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
		Set<GroupSetName> required = context.specifications()
			.stream()
			.map((specification) -> specification.set().name())
			.collect(Collectors.toSet());
		for (GroupRecord record : draft.groups()) {
			if (!required.contains(record.identity().name().set())) {
				drain(draft, record, "no ticket asks for the set any more");
			}
		}
		for (GroupSpecification specification : context.specifications()) {
			drainSurplus(draft, context, specification);
		}
	}

	private static void drainSurplus(AllocationDraft draft, PlanContext context, GroupSpecification specification) {
		List<GroupRecord> retained = GroupPlanner.rankedGroups(draft, context, specification)
			.stream()
			.filter((record) -> record.phase() != GroupPhase.DRAINING)
			.toList();
		int allowed = specification.set().groups() + (isBuildingReplacement(retained, specification) ? 1 : 0);
		for (GroupRecord record : retained.subList(Math.min(allowed, retained.size()), retained.size())) {
			drain(draft, record,
					"ticket " + specification.ticket() + " asks for " + specification.set().groups() + " groups");
		}
	}

	// A group of the new shape that is built next to one of the old shape is no surplus
	// before it serves. One whose load failed stays too: its record holds the reason, and
	// the change stops at it.
	private static boolean isBuildingReplacement(List<GroupRecord> retained, GroupSpecification specification) {
		boolean replacing = retained.stream()
			.anyMatch((record) -> record.phase() != GroupPhase.SERVING && specification.matches(record));
		return replacing && retained.stream().anyMatch((record) -> !specification.matches(record));
	}

	private static void drain(AllocationDraft draft, GroupRecord record, String reason) {
		if (record.phase() != GroupPhase.DRAINING) {
			draft.replace(record.withPhase(GroupPhase.DRAINING, reason));
		}
	}

}
