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
 * Forms the groups that are missing, for the sets first that lack the greatest share.
 */
final class FormPass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		List<GroupShape> byNeed = context.shapes()
			.stream()
			.sorted(Comparator.comparingDouble((GroupShape shape) -> staying(draft, shape) / (double) wanted(shape)))
			.toList();
		for (GroupShape shape : byNeed) {
			while (staying(draft, shape) < wanted(shape)) {
				Optional<List<VmName>> members = MemberChoice.whole(context, draft, shape);
				if (members.isEmpty()) {
					break;
				}
				draft.form(freeName(draft, shape), members.get(), shape, "ticket " + shape.ticket(), 0);
			}
		}
	}

	private static int wanted(GroupShape shape) {
		return Math.max(0, shape.set().groups());
	}

	private static long staying(AllocationDraft draft, GroupShape shape) {
		return draft.groups(shape.set().name())
			.stream()
			.filter((record) -> record.phase() != GroupPhase.DRAINING)
			.count();
	}

	/**
	 * A name of the set that no group has.
	 * @param draft the allocation under change
	 * @param shape the set
	 * @return the name with the lowest free ordinal
	 */
	static GroupName freeName(AllocationDraft draft, GroupShape shape) {
		Set<Integer> taken = draft.groups(shape.set().name())
			.stream()
			.map(GroupRecord::identity)
			.map((identity) -> identity.name().ordinal())
			.collect(Collectors.toSet());
		int ordinal = 0;
		while (taken.contains(ordinal)) {
			ordinal++;
		}
		return GroupName.of(shape.set().name(), ordinal);
	}

}
