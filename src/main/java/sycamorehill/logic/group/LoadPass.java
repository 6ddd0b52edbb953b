package sycamorehill.logic.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.GroupPolicy;

/**
 * Handles the results of loads. A group whose members are all ready starts to serve. A
 * group whose load failed is loaded again after a delay, or stays failed with the reason
 * in its record.
 */
final class LoadPass implements GroupPlanner.PlanPass {

	private static final int MAXIMUM_DOUBLINGS = 16;

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		for (GroupRecord record : draft.groups()) {
			if (record.phase() == GroupPhase.FORMING) {
				completeLoad(draft, context, record);
			}
		}
		for (GroupSpecification specification : context.specifications()) {
			for (GroupRecord record : draft.groups(specification.set().name())) {
				if (record.phase() == GroupPhase.FAILED && mayRetry(draft, context, specification, record)) {
					List<VmName> members = selectMembers(draft, context, specification, record);
					draft.form(record.identity().name(), members, specification, record.reason(), record.failures());
				}
			}
		}
	}

	private static void completeLoad(AllocationDraft draft, PlanContext context, GroupRecord record) {
		if (context.isComplete(record)) {
			draft.replace(record.withPhase(GroupPhase.SERVING, "all members ready"));
			return;
		}
		List<VmName> failed = record.members()
			.stream()
			.filter((vm) -> context.hasFailed(vm, record.identity()))
			.toList();
		if (!failed.isEmpty()) {
			String reason = "load of " + record.model() + " " + record.modelVersion() + " failed on " + failed
					+ ", try " + (record.failures() + 1);
			draft.replace(new GroupRecord(record.identity(), record.service(), record.model(), record.modelVersion(),
					record.members(), GroupPhase.FAILED, record.ticket(), reason, record.failures() + 1));
		}
	}

	// A model version that cannot be loaded must not be loaded without end, because its
	// loads would take the capacity of the weight store from groups that could serve. So
	// the delay doubles after each failure, and a rollout stops after a few failures
	// while groups of the previous version still serve.
	private static boolean mayRetry(AllocationDraft draft, PlanContext context, GroupSpecification specification,
			GroupRecord record) {
		if (!specification.matches(record)) {
			return true;
		}
		GroupPolicy policy = context.policy();
		boolean isRollout = draft.groups(specification.set().name())
			.stream()
			.anyMatch((other) -> other.phase() == GroupPhase.SERVING && !specification.matches(other));
		if (isRollout && record.failures() >= policy.failedLoadsBeforeStop()) {
			return false;
		}
		Duration delay = policy.orderRetry().multipliedBy(1L << Math.min(record.failures(), MAXIMUM_DOUBLINGS));
		Duration bounded = (delay.compareTo(policy.orderRetryLongest()) < 0) ? delay : policy.orderRetryLongest();
		return context.timeInPhase(record).compareTo(bounded) >= 0;
	}

	private static List<VmName> selectMembers(AllocationDraft draft, PlanContext context,
			GroupSpecification specification, GroupRecord record) {
		List<VmName> kept = record.members()
			.stream()
			.filter((vm) -> context.isUsable(vm) && !context.failedRecently(vm))
			.limit(specification.members())
			.toList();
		List<VmName> members = new ArrayList<>(kept);
		MemberSelector.selectReplacements(context, draft, specification, kept).ifPresent(members::addAll);
		if (members.size() == specification.members()) {
			return members;
		}
		return MemberSelector.selectMembers(context, draft, specification, usableMembers(context, record))
			.orElse(record.members());
	}

	private static List<VmName> usableMembers(PlanContext context, GroupRecord record) {
		return record.members().stream().filter(context::isUsable).toList();
	}

}
