package sycamorehill.logic.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.GroupPolicy;

/**
 * Takes the end of loads in: a group whose members are all ready serves; one whose load
 * failed is loaded again after a wait, or left alone with the reason in its record.
 */
final class LoadPass implements GroupPlanner.PlanPass {

	private static final int MOST_DOUBLINGS = 16;

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		for (GroupRecord record : draft.groups()) {
			if (record.phase() == GroupPhase.FORMING) {
				endOfLoad(draft, context, record);
			}
		}
		for (GroupShape shape : context.shapes()) {
			for (GroupRecord record : draft.groups(shape.set().name())) {
				if (record.phase() == GroupPhase.FAILED && mayRetry(draft, context, shape, record)) {
					List<VmName> members = nextMembers(draft, context, shape, record);
					draft.form(record.identity().name(), members, shape, record.reason(), record.failures());
				}
			}
		}
	}

	private static void endOfLoad(AllocationDraft draft, PlanContext context, GroupRecord record) {
		if (context.whole(record)) {
			draft.replace(record.withPhase(GroupPhase.SERVING, "all members ready"));
			return;
		}
		List<VmName> failed = record.members().stream().filter((vm) -> context.failed(vm, record.identity())).toList();
		if (!failed.isEmpty()) {
			String reason = "load of " + record.model() + " " + record.modelVersion() + " failed on " + failed
					+ ", try " + (record.failures() + 1);
			draft.replace(new GroupRecord(record.identity(), record.service(), record.model(), record.modelVersion(),
					record.members(), GroupPhase.FAILED, record.ticket(), reason, record.failures() + 1));
		}
	}

	// Failure: a model version that can't be loaded is loaded without end and takes the
	// weight store from groups that could serve. The waits double; and while groups of
	// the version before still serve, a change stops after a few failures.
	private static boolean mayRetry(AllocationDraft draft, PlanContext context, GroupShape shape, GroupRecord record) {
		if (!shape.fits(record)) {
			return true;
		}
		GroupPolicy policy = context.policy();
		boolean change = draft.groups(shape.set().name())
			.stream()
			.anyMatch((other) -> other.phase() == GroupPhase.SERVING && !shape.fits(other));
		if (change && record.failures() >= policy.failedLoadsBeforeStop()) {
			return false;
		}
		Duration wait = policy.orderRetry().multipliedBy(1L << Math.min(record.failures(), MOST_DOUBLINGS));
		Duration bounded = (wait.compareTo(policy.orderRetryLongest()) < 0) ? wait : policy.orderRetryLongest();
		return context.inPhase(record).compareTo(bounded) >= 0;
	}

	private static List<VmName> nextMembers(AllocationDraft draft, PlanContext context, GroupShape shape,
			GroupRecord record) {
		List<VmName> kept = record.members()
			.stream()
			.filter((vm) -> context.usable(vm) && !context.failedLately(vm))
			.limit(shape.members())
			.toList();
		List<VmName> members = new ArrayList<>(kept);
		MemberChoice.replacements(context, draft, shape, kept).ifPresent(members::addAll);
		if (members.size() == shape.members()) {
			return members;
		}
		return MemberChoice.whole(context, draft, shape, usable(context, record)).orElse(record.members());
	}

	private static List<VmName> usable(PlanContext context, GroupRecord record) {
		return record.members().stream().filter(context::usable).toList();
	}

}
