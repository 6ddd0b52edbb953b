package sycamorehill.logic.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.VmName;

/**
 * Completes drains: removes a drained group or forms it again.
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

	// A planned change must not interrupt a long stream. So only the engine's own count
	// of zero requests ends a drain; it includes requests from nodes that do not know of
	// the drain yet. A time limit applies only to a group with a leaving member. A member
	// that is dead or has left the group ends the drain at once.
	private static boolean isComplete(PlanContext context, GroupRecord record) {
		if (context.isDrained(record)) {
			return true;
		}
		boolean hasLostMember = record.members()
			.stream()
			.anyMatch((vm) -> context.isDead(vm) || context.hasLeftGroup(vm, record));
		boolean hasLeavingMember = record.members().stream().anyMatch(context.fleet()::isLeaving);
		return hasLostMember
				|| (hasLeavingMember && context.timeInPhase(record).compareTo(context.policy().drainLongest()) > 0);
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
