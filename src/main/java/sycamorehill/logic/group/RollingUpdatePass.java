package sycamorehill.logic.group;

import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;

/**
 * Updates groups with an older specification (model, version, service, size) to the one
 * that the desired state requires, one after the other, so that the others continue to
 * serve.
 */
final class RollingUpdatePass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		for (GroupSpecification specification : context.specifications()) {
			updateForming(draft, context, specification);
			updateNext(draft, context, specification);
		}
	}

	// A group that is still loading serves no requests, so it starts again with the new
	// specification.
	private static void updateForming(AllocationDraft draft, PlanContext context, GroupSpecification specification) {
		for (GroupRecord record : draft.groups(specification.set().name())) {
			if (record.phase() == GroupPhase.FORMING && !specification.matches(record)) {
				GroupName name = record.identity().name();
				draft.remove(name);
				MemberSelector.selectMembers(context, draft, specification)
					.ifPresent((members) -> draft.form(name, members, specification, "ticket " + specification.ticket(),
							0));
			}
		}
	}

	private static void updateNext(AllocationDraft draft, PlanContext context, GroupSpecification specification) {
		List<GroupRecord> ranked = GroupPlanner.rankedGroups(draft, context, specification);
		Optional<GroupRecord> outdated = ranked.stream()
			.filter((record) -> record.phase() == GroupPhase.SERVING && !specification.matches(record))
			.reduce((first, second) -> second);
		boolean inProgress = ranked.stream().anyMatch((record) -> record.phase() != GroupPhase.SERVING);
		if (outdated.isEmpty() || inProgress) {
			return;
		}
		Optional<List<VmName>> additional = MemberSelector.selectMembers(context, draft, specification);
		if (additional.isPresent()) {
			draft.form(FormationPass.firstFreeName(draft, specification), additional.get(), specification,
					"ticket " + specification.ticket(), 0);
			return;
		}
		long othersServing = ranked.stream()
			.filter((record) -> record != outdated.get() && GroupRanking.isServing(record, context))
			.count();
		if (othersServing > 0 || specification.set().groups() == 1) {
			draft.replace(
					outdated.get().withPhase(GroupPhase.DRAINING, "ticket " + specification.ticket() + " changes it"));
		}
	}

}
