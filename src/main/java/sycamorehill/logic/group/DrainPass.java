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
			if (record.phase() == GroupPhase.DRAINING && over(context, record)) {
				end(draft, context, record);
			}
		}
	}

	// Failure: a planned change cuts off a long stream. Only the engine's own count of
	// zero ends a drain; nodes that did not hear of it show in that count. A bound holds
	// only where a member goes anyway or is dead.
	private static boolean over(PlanContext context, GroupRecord record) {
		if (context.drained(record)) {
			return true;
		}
		boolean dead = record.members().stream().anyMatch((vm) -> context.dead(vm) || context.lost(vm, record));
		boolean leaving = record.members().stream().anyMatch(context.fleet()::isLeaving);
		return dead || (leaving && context.inPhase(record).compareTo(context.policy().drainLongest()) > 0);
	}

	private static void end(AllocationDraft draft, PlanContext context, GroupRecord record) {
		GroupSetName set = record.identity().name().set();
		Optional<GroupShape> shape = context.shapes()
			.stream()
			.filter((candidate) -> candidate.set().name().equals(set))
			.findFirst();
		long staying = draft.groups(set).stream().filter((other) -> other.phase() != GroupPhase.DRAINING).count();
		boolean wanted = shape.isPresent() && staying < shape.get().set().groups();
		Optional<List<VmName>> members = wanted ? members(draft, context, shape.get(), record) : Optional.empty();
		members.ifPresentOrElse((chosen) -> draft.form(record.identity().name(), chosen, shape.get(),
				"built anew after: " + record.reason(), 0), () -> draft.remove(record.identity().name()));
	}

	private static Optional<List<VmName>> members(AllocationDraft draft, PlanContext context, GroupShape shape,
			GroupRecord record) {
		List<VmName> good = record.members()
			.stream()
			.filter((vm) -> context.usable(vm) && !context.silent(vm))
			.toList();
		List<VmName> kept = good.stream().limit(shape.members()).toList();
		return MemberChoice.replacements(context, draft, shape, kept).map((replacements) -> {
			List<VmName> members = new ArrayList<>(kept);
			members.addAll(replacements);
			return members;
		}).or(() -> MemberChoice.whole(context, draft, shape, good));
	}

}
