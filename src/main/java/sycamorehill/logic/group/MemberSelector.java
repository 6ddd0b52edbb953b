package sycamorehill.logic.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.VmName;

/**
 * Selects the VMs of a group: all from one fabric domain, unless the set allows several.
 */
final class MemberSelector {

	private MemberSelector() {
	}

	/**
	 * Selects the members of a new group. Prefers the domain with the fewest groups of
	 * the set, so that the loss of a domain affects few of them. Among equal ones it
	 * prefers the domain with the fewest candidates, which keeps room for large groups
	 * elsewhere.
	 * @param context the state that the decision is based on
	 * @param draft the draft allocation
	 * @param specification the specification of the group
	 * @return the members, empty if the group does not fit
	 */
	static Optional<List<VmName>> selectMembers(PlanContext context, AllocationDraft draft,
			GroupSpecification specification) {
		return selectMembers(context, draft, specification, List.of());
	}

	/**
	 * Selects the members of a group that is formed again and may reuse its own VMs.
	 * @param context the state that the decision is based on
	 * @param draft the draft allocation
	 * @param specification the specification of the group
	 * @param own the group's own VMs that are still usable
	 * @return the members, empty if the group does not fit
	 */
	static Optional<List<VmName>> selectMembers(PlanContext context, AllocationDraft draft,
			GroupSpecification specification, List<VmName> own) {
		List<VmName> candidates = new ArrayList<>(own);
		candidates.addAll(usableStandbys(context, draft, specification.set().name()));
		candidates.addAll(context.freeVms(draft));
		Map<FabricDomain, List<VmName>> byDomain = groupVmsByDomain(context, candidates);
		Map<FabricDomain, Integer> groups = countGroupsByDomain(context, draft, specification.set().name());
		Optional<List<VmName>> inOneDomain = byDomain.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() >= specification.members())
			.min(Comparator
				.comparingInt((Map.Entry<FabricDomain, List<VmName>> entry) -> groups.getOrDefault(entry.getKey(), 0))
				.thenComparingInt((entry) -> entry.getValue().size()))
			.map((entry) -> entry.getValue().subList(0, specification.members()));
		if (inOneDomain.isPresent() || !specification.set().mayCrossDomains()
				|| candidates.size() < specification.members()) {
			return inOneDomain;
		}
		return Optional.of(selectAcrossDomains(byDomain, specification.members()));
	}

	/**
	 * Selects VMs that replace lost members, from the domains of the other members.
	 * @param context the state that the decision is based on
	 * @param draft the draft allocation
	 * @param specification the specification of the group
	 * @param kept the members that stay in the group
	 * @return the replacements, empty if there are too few
	 */
	static Optional<List<VmName>> selectReplacements(PlanContext context, AllocationDraft draft,
			GroupSpecification specification, List<VmName> kept) {
		int missing = specification.members() - kept.size();
		List<VmName> candidates = new ArrayList<>(usableStandbys(context, draft, specification.set().name()));
		candidates.addAll(context.freeVms(draft));
		List<Optional<FabricDomain>> domains = kept.stream().map(context::domain).distinct().toList();
		List<VmName> sameDomain = candidates.stream()
			.filter((vm) -> domains.contains(context.domain(vm)))
			.limit(missing)
			.toList();
		if (sameDomain.size() == missing && !kept.isEmpty()) {
			return Optional.of(sameDomain);
		}
		return Optional.empty();
	}

	private static List<VmName> usableStandbys(PlanContext context, AllocationDraft draft, GroupSetName set) {
		return draft.standbys(set).stream().filter(context::isUsable).toList();
	}

	private static Map<FabricDomain, List<VmName>> groupVmsByDomain(PlanContext context, List<VmName> vms) {
		Map<FabricDomain, List<VmName>> byDomain = new TreeMap<>();
		for (VmName vm : vms) {
			context.domain(vm)
				.ifPresent((domain) -> byDomain.computeIfAbsent(domain, (key) -> new ArrayList<>()).add(vm));
		}
		return byDomain;
	}

	private static Map<FabricDomain, Integer> countGroupsByDomain(PlanContext context, AllocationDraft draft,
			GroupSetName set) {
		Map<FabricDomain, Integer> groups = new TreeMap<>();
		for (GroupRecord record : draft.groups(set)) {
			context.domain(record.head()).ifPresent((domain) -> groups.merge(domain, 1, Integer::sum));
		}
		return groups;
	}

	// Uses as few domains as possible, because each further one slows the group down.
	private static List<VmName> selectAcrossDomains(Map<FabricDomain, List<VmName>> byDomain, int members) {
		List<VmName> chosen = new ArrayList<>();
		byDomain.values()
			.stream()
			.sorted(Comparator.comparingInt((List<VmName> vms) -> -vms.size()))
			.forEach((vms) -> chosen.addAll(vms.subList(0, Math.min(vms.size(), members - chosen.size()))));
		return chosen;
	}

}
