package sycamorehill.logic.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.VmName;

/**
 * Repairs groups with dead members and drains those with leaving ones.
 */
final class RepairPass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		for (GroupSpecification specification : context.specifications()) {
			List<GroupRecord> broken = new ArrayList<>();
			for (GroupRecord record : draft.groups(specification.set().name())) {
				if (hasLeavingMember(context, record)) {
					handleLeavingMember(draft, context, specification, record);
				}
				else if (isBroken(context, record) && !repair(draft, context, specification, record)) {
					broken.add(record);
				}
			}
			if (context.policy().repair().mergesBroken()) {
				mergeBroken(draft, context, specification, broken);
			}
		}
	}

	private static boolean hasLeavingMember(PlanContext context, GroupRecord record) {
		return record.phase() != GroupPhase.DRAINING
				&& record.members().stream().anyMatch((vm) -> context.fleet().isLeaving(vm) && !context.isDead(vm));
	}

	// A serving group with a leaving member is drained and receives no new requests. A
	// replacement is formed at once if a complete group fits; otherwise the group is
	// formed again after the drain.
	private static void handleLeavingMember(AllocationDraft draft, PlanContext context,
			GroupSpecification specification, GroupRecord record) {
		List<VmName> leaving = record.members().stream().filter(context.fleet()::isLeaving).toList();
		if (record.phase() == GroupPhase.SERVING) {
			draft.replace(record.withPhase(GroupPhase.DRAINING, "leaving: " + leaving));
		}
		else if (!repair(draft, context, specification, record)) {
			draft.remove(record.identity().name());
		}
	}

	private static boolean isBroken(PlanContext context, GroupRecord record) {
		if (record.phase() == GroupPhase.DRAINING) {
			return false;
		}
		if (record.members().stream().anyMatch(context::isDead)) {
			return true;
		}
		return record.phase() == GroupPhase.SERVING && hasInternalFailure(context, record);
	}

	// Detects an engine that restarted and is in no group, or a replica that reports a
	// failure although all its members still answer.
	private static boolean hasInternalFailure(PlanContext context, GroupRecord record) {
		boolean failed = record.members()
			.stream()
			.anyMatch((vm) -> context.hasLeftGroup(vm, record) || context.hasFailed(vm, record.identity()));
		return failed && record.members().stream().noneMatch(context::isSilent);
	}

	private static boolean repair(AllocationDraft draft, PlanContext context, GroupSpecification specification,
			GroupRecord record) {
		List<VmName> kept = healthyMembers(context, record).stream().limit(specification.members()).toList();
		Optional<List<VmName>> members = MemberSelector.selectReplacements(context, draft, specification, kept)
			.map((replacements) -> concatenate(kept, replacements))
			.or(() -> MemberSelector.selectMembers(context, draft, specification, healthyMembers(context, record)));
		members.ifPresent((chosen) -> draft.form(record.identity().name(), chosen, specification,
				"in place of " + lostMembers(record.members(), kept), record.failures()));
		return members.isPresent();
	}

	// If two groups each lack a member and no VM can replace it, one group is removed and
	// the other uses its members. A single broken group is kept: a member that was only
	// paused returns in its generation, and the group serves again.
	private static void mergeBroken(AllocationDraft draft, PlanContext context, GroupSpecification specification,
			List<GroupRecord> broken) {
		List<GroupRecord> unrepaired = new ArrayList<>(broken);
		unrepaired.sort((one, other) -> Integer.compare(healthyMembers(context, one).size(),
				healthyMembers(context, other).size()));
		while (unrepaired.size() > 1) {
			GroupRecord donor = unrepaired.remove(0);
			GroupRecord recipient = unrepaired.get(unrepaired.size() - 1);
			if (!sharesDomain(context, donor, recipient) || healthyMembers(context, donor).size()
					+ healthyMembers(context, recipient).size() < specification.members()) {
				continue;
			}
			draft.remove(donor.identity().name());
			if (repair(draft, context, specification, recipient)) {
				unrepaired.remove(recipient);
			}
			else {
				draft.replace(donor);
			}
		}
	}

	private static boolean sharesDomain(PlanContext context, GroupRecord one, GroupRecord other) {
		List<VmName> kept = healthyMembers(context, other);
		return healthyMembers(context, one).stream()
			.anyMatch((vm) -> kept.stream().anyMatch((peer) -> context.domain(peer).equals(context.domain(vm))));
	}

	private static List<VmName> healthyMembers(PlanContext context, GroupRecord record) {
		return record.members().stream().filter((vm) -> context.isUsable(vm) && !context.isSilent(vm)).toList();
	}

	private static List<VmName> concatenate(List<VmName> kept, List<VmName> replacements) {
		List<VmName> members = new ArrayList<>(kept);
		members.addAll(replacements);
		return members;
	}

	private static List<VmName> lostMembers(List<VmName> members, List<VmName> kept) {
		return members.stream().filter((vm) -> !kept.contains(vm)).toList();
	}

}
