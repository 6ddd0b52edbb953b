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
 * Claims standbys from the free VMs and releases those that are no longer required.
 */
final class StandbyPass implements GroupPlanner.PlanPass {

	@Override
	public void apply(AllocationDraft draft, PlanContext context) {
		Map<GroupSetName, GroupSpecification> specifications = context.specifications()
			.stream()
			.collect(Collectors.toMap((specification) -> specification.set().name(), Function.identity()));
		for (VmName vm : draft.standbys()) {
			boolean required = specifications.containsKey(draft.standbySet(vm));
			if (!required || context.isDead(vm) || context.fleet().isLeaving(vm)) {
				draft.releaseStandby(vm);
			}
		}
		for (GroupSpecification specification : context.specifications()) {
			adjustStandbys(draft, context, specification);
		}
	}

	private static void adjustStandbys(AllocationDraft draft, PlanContext context, GroupSpecification specification) {
		GroupSetName set = specification.set().name();
		int required = requiredStandbys(draft, context, specification);
		List<VmName> claimed = draft.standbys(set);
		claimed.stream().skip(required).forEach(draft::releaseStandby);
		for (int count = claimed.size(); count < required && hasAllGroups(draft, specification); count++) {
			Optional<VmName> choice = chooseStandby(draft, context, set);
			if (choice.isEmpty()) {
				return;
			}
			draft.claimStandby(choice.get(), set);
		}
	}

	private static int requiredStandbys(AllocationDraft draft, PlanContext context, GroupSpecification specification) {
		RepairRules rules = context.policy().repair();
		long domains = draft.groups(specification.set().name())
			.stream()
			.map((record) -> context.domain(record.head()))
			.distinct()
			.count();
		int byRules = rules.standbyInEachDomain() ? rules.standbys() * (int) domains : rules.standbys();
		return Math.max(specification.set().standbys(), byRules);
	}

	private static boolean hasAllGroups(AllocationDraft draft, GroupSpecification specification) {
		return draft.groups(specification.set().name())
			.stream()
			.filter((record) -> record.phase() != GroupPhase.DRAINING)
			.count() >= specification.set().groups();
	}

	// Prefers the domain with the most groups per standby.
	private static Optional<VmName> chooseStandby(AllocationDraft draft, PlanContext context, GroupSetName set) {
		return context.freeVms(draft)
			.stream()
			.filter((vm) -> context.domain(vm).isPresent())
			.filter((vm) -> countGroups(draft, context, set, context.domain(vm).get()) > 0)
			.max(Comparator.comparingDouble((vm) -> {
				FabricDomain domain = context.domain(vm).get();
				return countGroups(draft, context, set, domain) / (1.0 + countStandbys(draft, context, set, domain));
			}));
	}

	private static long countGroups(AllocationDraft draft, PlanContext context, GroupSetName set, FabricDomain domain) {
		return draft.groups(set)
			.stream()
			.filter((record) -> context.domain(record.head()).equals(Optional.of(domain)))
			.count();
	}

	private static long countStandbys(AllocationDraft draft, PlanContext context, GroupSetName set,
			FabricDomain domain) {
		return draft.standbys(set).stream().filter((vm) -> context.domain(vm).equals(Optional.of(domain))).count();
	}

}
