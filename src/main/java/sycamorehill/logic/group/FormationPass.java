package sycamorehill.logic.group;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;

/**
 * Forms the missing groups, starting with the sets that lack the largest share of theirs.
 */
final class FormationPass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		List<GroupSpecification> byShortfall = context.specifications()
			.stream()
			.sorted(Comparator
				.comparingDouble((GroupSpecification specification) -> countNotDraining(draft, specification)
						/ (double) requiredGroups(specification)))
			.toList();
		for (GroupSpecification specification : byShortfall) {
			while (countNotDraining(draft, specification) < requiredGroups(specification)) {
				Optional<List<VmName>> members = MemberSelector.selectMembers(context, draft, specification);
				if (members.isEmpty()) {
					break;
				}
				draft.form(firstFreeName(draft, specification), members.get(), specification,
						"ticket " + specification.ticket(), 0);
			}
		}
	}

	private static int requiredGroups(GroupSpecification specification) {
		return Math.max(0, specification.set().groups());
	}

	private static long countNotDraining(AllocationDraft draft, GroupSpecification specification) {
		return draft.groups(specification.set().name())
			.stream()
			.filter((record) -> record.phase() != GroupPhase.DRAINING)
			.count();
	}

	/**
	 * Returns the name with the lowest ordinal that no group of the set uses.
	 * @param draft the draft allocation
	 * @param specification the specification of the set
	 * @return the name
	 */
	static GroupName firstFreeName(AllocationDraft draft, GroupSpecification specification) {
		Set<Integer> taken = draft.groups(specification.set().name())
			.stream()
			.map(GroupRecord::identity)
			.map((identity) -> identity.name().ordinal())
			.collect(Collectors.toSet());
		int ordinal = 0;
		while (taken.contains(ordinal)) {
			ordinal++;
		}
		return GroupName.of(specification.set().name(), ordinal);
	}

}
