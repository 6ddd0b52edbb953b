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
 * Chooses the VMs of a group: all of one fabric domain, unless the set allows otherwise.
 */
final class MemberChoice {

	private MemberChoice() {
	}

	/**
	 * Chooses the members of a new group. Domains with the fewest groups of the set come
	 * first, so that a domain's loss costs few of them; then the tightest fit, so that
	 * large groups still fit elsewhere.
	 * @param context what the decision rests on
	 * @param draft the allocation under change
	 * @param shape what the group is to be
	 * @return the members, empty if the group does not fit
	 */
	static Optional<List<VmName>> whole(PlanContext context, AllocationDraft draft, GroupShape shape) {
		return whole(context, draft, shape, List.of());
	}

	/**
	 * Chooses the members of a group that is built anew and gives its own VMs back.
	 * @param context what the decision rests on
	 * @param draft the allocation under change
	 * @param shape what the group is to be
	 * @param own the group's own VMs that are still good
	 * @return the members, empty if the group does not fit
	 */
	static Optional<List<VmName>> whole(PlanContext context, AllocationDraft draft, GroupShape shape,
			List<VmName> own) {
		List<VmName> candidates = new ArrayList<>(own);
		candidates.addAll(standbys(context, draft, shape.set().name()));
		candidates.addAll(context.free(draft));
		Map<FabricDomain, List<VmName>> byDomain = byDomain(context, candidates);
		Map<FabricDomain, Integer> groups = groupsByDomain(context, draft, shape.set().name());
		Optional<List<VmName>> inOne = byDomain.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() >= shape.members())
			.min(Comparator
				.comparingInt((Map.Entry<FabricDomain, List<VmName>> entry) -> groups.getOrDefault(entry.getKey(), 0))
				.thenComparingInt((entry) -> entry.getValue().size()))
			.map((entry) -> entry.getValue().subList(0, shape.members()));
		if (inOne.isPresent() || !shape.set().mayCrossDomains() || candidates.size() < shape.members()) {
			return inOne;
		}
		return Optional.of(acrossDomains(byDomain, shape.members()));
	}

	/**
	 * Chooses VMs in place of lost members, from the domain of the others.
	 * @param context what the decision rests on
	 * @param draft the allocation under change
	 * @param shape what the group is to be
	 * @param kept the members that stay
	 * @return the replacements, empty if there are too few
	 */
	static Optional<List<VmName>> replacements(PlanContext context, AllocationDraft draft, GroupShape shape,
			List<VmName> kept) {
		int missing = shape.members() - kept.size();
		List<VmName> candidates = new ArrayList<>(standbys(context, draft, shape.set().name()));
		candidates.addAll(context.free(draft));
		List<Optional<FabricDomain>> domains = kept.stream().map(context::domain).distinct().toList();
		List<VmName> near = candidates.stream()
			.filter((vm) -> domains.contains(context.domain(vm)))
			.limit(missing)
			.toList();
		if (near.size() == missing && !kept.isEmpty()) {
			return Optional.of(near);
		}
		return Optional.empty();
	}

	private static List<VmName> standbys(PlanContext context, AllocationDraft draft, GroupSetName set) {
		return draft.standbys(set).stream().filter(context::usable).toList();
	}

	private static Map<FabricDomain, List<VmName>> byDomain(PlanContext context, List<VmName> vms) {
		Map<FabricDomain, List<VmName>> byDomain = new TreeMap<>();
		for (VmName vm : vms) {
			context.domain(vm)
				.ifPresent((domain) -> byDomain.computeIfAbsent(domain, (key) -> new ArrayList<>()).add(vm));
		}
		return byDomain;
	}

	private static Map<FabricDomain, Integer> groupsByDomain(PlanContext context, AllocationDraft draft,
			GroupSetName set) {
		Map<FabricDomain, Integer> groups = new TreeMap<>();
		for (GroupRecord record : draft.groups(set)) {
			context.domain(record.head()).ifPresent((domain) -> groups.merge(domain, 1, Integer::sum));
		}
		return groups;
	}

	// The fewest domains: each further one makes the group slower.
	private static List<VmName> acrossDomains(Map<FabricDomain, List<VmName>> byDomain, int members) {
		List<VmName> chosen = new ArrayList<>();
		byDomain.values()
			.stream()
			.sorted(Comparator.comparingInt((List<VmName> vms) -> -vms.size()))
			.forEach((vms) -> chosen.addAll(vms.subList(0, Math.min(vms.size(), members - chosen.size()))));
		return chosen;
	}

}
