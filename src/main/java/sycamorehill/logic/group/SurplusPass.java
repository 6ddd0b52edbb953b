package sycamorehill.logic.group;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupSetName;

/**
 * Drains the groups that the desired state no longer requires.
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

	// A group with the new specification that is formed beside one with the old
	// specification is not surplus until it serves. A group whose load failed is kept
	// too: its record holds the reason, and the rollout stops at it.
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
