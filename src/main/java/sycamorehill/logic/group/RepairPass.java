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
		for (GroupShape shape : context.shapes()) {
			List<GroupRecord> broken = new ArrayList<>();
			for (GroupRecord record : draft.groups(shape.set().name())) {
				if (isDoomed(context, record)) {
					doomed(draft, context, shape, record);
				}
				else if (isBroken(context, record) && !repair(draft, context, shape, record)) {
					broken.add(record);
				}
			}
			if (context.policy().repair().mergesBroken()) {
				merge(draft, context, shape, broken);
			}
		}
	}

	private static boolean isDoomed(PlanContext context, GroupRecord record) {
		return record.phase() != GroupPhase.DRAINING
				&& record.members().stream().anyMatch((vm) -> context.fleet().isLeaving(vm) && !context.dead(vm));
	}

	// A group with a leaving member gets no new work from now on. The missing group is
	// built at once where it fits whole; else the group is built anew once it has
	// drained.
	private static void doomed(AllocationDraft draft, PlanContext context, GroupShape shape, GroupRecord record) {
		List<VmName> leaving = record.members().stream().filter(context.fleet()::isLeaving).toList();
		if (record.phase() == GroupPhase.SERVING) {
			draft.replace(record.withPhase(GroupPhase.DRAINING, "leaving: " + leaving));
		}
		else if (!repair(draft, context, shape, record)) {
			draft.remove(record.identity().name());
		}
	}

	private static boolean isBroken(PlanContext context, GroupRecord record) {
		if (record.phase() == GroupPhase.DRAINING) {
			return false;
		}
		if (record.members().stream().anyMatch(context::dead)) {
			return true;
		}
		return record.phase() == GroupPhase.SERVING && failedInside(context, record);
	}

	// An engine that restarted in no group, or a replica that says it has failed although
	// all its members still answer.
	private static boolean failedInside(PlanContext context, GroupRecord record) {
		boolean wrong = record.members()
			.stream()
			.anyMatch((vm) -> context.lost(vm, record) || context.failed(vm, record.identity()));
		return wrong && record.members().stream().noneMatch(context::silent);
	}

	private static boolean repair(AllocationDraft draft, PlanContext context, GroupShape shape, GroupRecord record) {
		List<VmName> kept = kept(context, record).stream().limit(shape.members()).toList();
		Optional<List<VmName>> members = MemberChoice.replacements(context, draft, shape, kept)
			.map((replacements) -> joined(kept, replacements))
			.or(() -> MemberChoice.whole(context, draft, shape, kept(context, record)));
		members.ifPresent((chosen) -> draft.form(record.identity().name(), chosen, shape,
				"in place of " + lost(record.members(), kept), record.failures()));
		return members.isPresent();
	}

	// Two groups that each lack a member, and nothing to repair them with: one gives its
	// members to the other. Without a second one the group waits as it is: a member that
	// was only paused comes back in its generation and the group serves again.
	private static void merge(AllocationDraft draft, PlanContext context, GroupShape shape, List<GroupRecord> broken) {
		List<GroupRecord> left = new ArrayList<>(broken);
		left.sort((one, other) -> Integer.compare(kept(context, one).size(), kept(context, other).size()));
		while (left.size() > 1) {
			GroupRecord donor = left.remove(0);
			GroupRecord taker = left.get(left.size() - 1);
			if (!sharesDomain(context, donor, taker)
					|| kept(context, donor).size() + kept(context, taker).size() < shape.members()) {
				continue;
			}
			draft.remove(donor.identity().name());
			if (repair(draft, context, shape, taker)) {
				left.remove(taker);
			}
			else {
				draft.replace(donor);
			}
		}
	}

	private static boolean sharesDomain(PlanContext context, GroupRecord one, GroupRecord other) {
		List<VmName> kept = kept(context, other);
		return kept(context, one).stream()
			.anyMatch((vm) -> kept.stream().anyMatch((peer) -> context.domain(peer).equals(context.domain(vm))));
	}

	private static List<VmName> kept(PlanContext context, GroupRecord record) {
		return record.members().stream().filter((vm) -> context.usable(vm) && !context.silent(vm)).toList();
	}

	private static List<VmName> joined(List<VmName> kept, List<VmName> replacements) {
		List<VmName> members = new ArrayList<>(kept);
		members.addAll(replacements);
		return members;
	}

	private static List<VmName> lost(List<VmName> members, List<VmName> kept) {
		return members.stream().filter((vm) -> !kept.contains(vm)).toList();
	}

}
