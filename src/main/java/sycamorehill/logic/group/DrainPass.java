package sycamorehill.logic.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.VmName;

/**
 * Ends drains: a drained group is given up or built anew.
 */
final class DrainPass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		for (GroupRecord record : draft.groups()) {
			if (record.phase() == GroupPhase.DRAINING && isComplete(context, record)) {
				complete(draft, context, record);
			}
		}
	}

	// Failure: a planned change cuts off a long stream. Only the engine's own count of
	// zero ends a drain; nodes that did not hear of it show in that count. A bound holds
	// only where a member goes anyway or is dead.
	private static boolean isComplete(PlanContext context, GroupRecord record) {
		if (context.isDrained(record)) {
			return true;
		}
		boolean dead = record.members()
			.stream()
			.anyMatch((vm) -> context.isDead(vm) || context.hasLeftGroup(vm, record));
		boolean leaving = record.members().stream().anyMatch(context.fleet()::isLeaving);
		return dead || (leaving && context.timeInPhase(record).compareTo(context.policy().drainLongest()) > 0);
	}

	private static void complete(AllocationDraft draft, PlanContext context, GroupRecord record) {
		GroupSetName set = record.identity().name().set();
		Optional<GroupSpecification> specification = context.specifications()
			.stream()
			.filter((candidate) -> candidate.set().name().equals(set))
			.findFirst();
		long retained = draft.groups(set).stream().filter((other) -> other.phase() != GroupPhase.DRAINING).count();
		boolean needed = specification.isPresent() && retained < specification.get().set().groups();
		Optional<List<VmName>> members = needed ? selectMembers(draft, context, specification.get(), record)
				: Optional.empty();
		members.ifPresentOrElse((chosen) -> draft.form(record.identity().name(), chosen, specification.get(),
				"built anew after: " + record.reason(), 0), () -> draft.remove(record.identity().name()));
	}

	private static Optional<List<VmName>> selectMembers(AllocationDraft draft, PlanContext context,
			GroupSpecification specification, GroupRecord record) {
		List<VmName> healthy = record.members()
			.stream()
			.filter((vm) -> context.isUsable(vm) && !context.isSilent(vm))
			.toList();
		List<VmName> kept = healthy.stream().limit(specification.members()).toList();
		return MemberSelector.selectReplacements(context, draft, specification, kept).map((replacements) -> {
			List<VmName> members = new ArrayList<>(kept);
			members.addAll(replacements);
			return members;
		}).or(() -> MemberSelector.selectMembers(context, draft, specification, healthy));
	}

}
