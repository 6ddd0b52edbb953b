package sycamorehill.logic.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Puts groups together from what engines report.
 */
public final class GroupViews {

	private GroupViews() {
	}

	/**
	 * Collects the groups of one service.
	 * @param entries the service's engines
	 * @param vanished the last word of engines whose entries went lately
	 * @param figures what its engines do
	 * @return all groups that at least one engine reports, in a fixed order
	 */
	public static List<GroupView> of(List<TargetEntry> entries, Collection<TargetEntry> vanished,
			EngineFigures figures) {
		Map<String, List<TargetEntry>> byGroup = new TreeMap<>();
		entries.forEach((entry) -> addMember(entry, byGroup));
		vanished.stream().filter((entry) -> seen(entry, byGroup)).forEach((entry) -> addMember(entry, byGroup));
		Set<TargetName> gone = vanished.stream().map(TargetEntry::name).collect(Collectors.toSet());
		List<GroupView> groups = new ArrayList<>();
		for (List<TargetEntry> members : byGroup.values()) {
			members.sort(Comparator.comparingInt((TargetEntry member) -> member.membership().orElseThrow().rank())
				.thenComparing(TargetEntry::name));
			view(members, gone, figures).ifPresent(groups::add);
		}
		return groups;
	}

	private static void addMember(TargetEntry entry, Map<String, List<TargetEntry>> byGroup) {
		entry.membership()
			.ifPresent((membership) -> byGroup
				.computeIfAbsent(GroupView.key(membership.group(), membership.epoch()), (key) -> new ArrayList<>())
				.add(entry));
	}

	// A group of which no engine is left in the directory can't be used or changed.
	private static boolean seen(TargetEntry entry, Map<String, List<TargetEntry>> byGroup) {
		return entry.membership()
			.filter((membership) -> byGroup.containsKey(GroupView.key(membership.group(), membership.epoch())))
			.isPresent();
	}

	private static Optional<GroupView> view(List<TargetEntry> members, Set<TargetName> gone, EngineFigures figures) {
		Set<TargetName> vanished = members.stream()
			.map(TargetEntry::name)
			.filter(gone::contains)
			.collect(Collectors.toSet());
		var membership = members.get(0).membership().orElseThrow();
		return model(members, membership.group(), figures).map((model) -> new GroupView(membership.group(),
				membership.epoch(), model, List.copyOf(members), vanished));
	}

	private static Optional<ModelFigures> model(List<TargetEntry> members, String group, EngineFigures figures) {
		return GroupNames.model(group)
			.or(() -> members.stream().flatMap((member) -> member.loaded().stream()).findFirst())
			.flatMap(figures::model);
	}

}
