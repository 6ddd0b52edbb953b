package sycamorehill.logic.group;

import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;

/**
 * Brings groups of an older shape (model, version, service, size) to the one that the
 * truth asks for, one after the other, so that the rest goes on serving.
 */
final class RollPass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		for (GroupShape shape : context.shapes()) {
			changeIdle(draft, context, shape);
			changeOne(draft, context, shape);
		}
	}

	// A group that is still loading serves nobody: it begins again in the new shape.
	private static void changeIdle(AllocationDraft draft, PlanContext context, GroupShape shape) {
		for (GroupRecord record : draft.groups(shape.set().name())) {
			if (record.phase() == GroupPhase.FORMING && !shape.fits(record)) {
				GroupName name = record.identity().name();
				draft.remove(name);
				MemberChoice.whole(context, draft, shape)
					.ifPresent((members) -> draft.form(name, members, shape, "ticket " + shape.ticket(), 0));
			}
		}
	}

	private static void changeOne(AllocationDraft draft, PlanContext context, GroupShape shape) {
		List<GroupRecord> byWorth = GroupPlanner.byWorth(draft, context, shape);
		Optional<GroupRecord> old = byWorth.stream()
			.filter((record) -> record.phase() == GroupPhase.SERVING && !shape.fits(record))
			.reduce((first, second) -> second);
		boolean underWay = byWorth.stream().anyMatch((record) -> record.phase() != GroupPhase.SERVING);
		if (old.isEmpty() || underWay) {
			return;
		}
		Optional<List<VmName>> beside = MemberChoice.whole(context, draft, shape);
		if (beside.isPresent()) {
			draft.form(FormPass.freeName(draft, shape), beside.get(), shape, "ticket " + shape.ticket(), 0);
			return;
		}
		long othersServing = byWorth.stream()
			.filter((record) -> record != old.get() && GroupWorth.serves(record, context))
			.count();
		if (othersServing > 0 || shape.set().groups() == 1) {
			draft.replace(old.get().withPhase(GroupPhase.DRAINING, "ticket " + shape.ticket() + " changes it"));
		}
	}

}
