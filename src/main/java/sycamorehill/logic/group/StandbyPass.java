package sycamorehill.logic.group;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.RepairRules;

/**
 * Claims standbys from what is left, and gives back those that are of no use.
 */
final class StandbyPass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		Map<GroupSetName, GroupShape> shapes = context.shapes()
			.stream()
			.collect(Collectors.toMap((shape) -> shape.set().name(), Function.identity()));
		for (VmName vm : draft.standbys()) {
			boolean wanted = shapes.containsKey(draft.standbyFor(vm));
			if (!wanted || context.dead(vm) || context.fleet().isLeaving(vm)) {
				draft.releaseStandby(vm);
			}
		}
		for (GroupShape shape : context.shapes()) {
			adjust(draft, context, shape);
		}
	}

	private static void adjust(AllocationDraft draft, PlanContext context, GroupShape shape) {
		GroupSetName set = shape.set().name();
		int wanted = wanted(draft, context, shape);
		List<VmName> claimed = draft.standbys(set);
		claimed.stream().skip(wanted).forEach(draft::releaseStandby);
		for (int count = claimed.size(); count < wanted && groupsFormed(draft, shape); count++) {
			Optional<VmName> choice = choose(draft, context, set);
			if (choice.isEmpty()) {
				return;
			}
			draft.claimStandby(choice.get(), set);
		}
	}

	private static int wanted(AllocationDraft draft, PlanContext context, GroupShape shape) {
		RepairRules rules = context.policy().repair();
		long domains = draft.groups(shape.set().name())
			.stream()
			.map((record) -> context.domain(record.head()))
			.distinct()
			.count();
		int byRules = rules.standbyInEachDomain() ? rules.standbys() * (int) domains : rules.standbys();
		return Math.max(shape.set().standbys(), byRules);
	}

	private static boolean groupsFormed(AllocationDraft draft, GroupShape shape) {
		return draft.groups(shape.set().name())
			.stream()
			.filter((record) -> record.phase() != GroupPhase.DRAINING)
			.count() >= shape.set().groups();
	}

	// The domain with the most groups for each standby that it already has.
	private static Optional<VmName> choose(AllocationDraft draft, PlanContext context, GroupSetName set) {
		return context.free(draft)
			.stream()
			.filter((vm) -> context.domain(vm).isPresent())
			.filter((vm) -> groups(draft, context, set, context.domain(vm).get()) > 0)
			.max(Comparator.comparingDouble((vm) -> {
				FabricDomain domain = context.domain(vm).get();
				return groups(draft, context, set, domain) / (1.0 + standbys(draft, context, set, domain));
			}));
	}

	private static long groups(AllocationDraft draft, PlanContext context, GroupSetName set, FabricDomain domain) {
		return draft.groups(set)
			.stream()
			.filter((record) -> context.domain(record.head()).equals(Optional.of(domain)))
			.count();
	}

	private static long standbys(AllocationDraft draft, PlanContext context, GroupSetName set, FabricDomain domain) {
		return draft.standbys(set).stream().filter((vm) -> context.domain(vm).equals(Optional.of(domain))).count();
	}

}
