package sycamorehill.logic.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

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
	 * @param figures what its engines do
	 * @return all groups that at least one engine reports, in a fixed order
	 */
	public static List<GroupView> of(List<TargetEntry> entries, EngineFigures figures) {
		Map<String, List<TargetEntry>> byGroup = new TreeMap<>();
		for (TargetEntry entry : entries) {
			entry.membership()
				.ifPresent((membership) -> byGroup
					.computeIfAbsent(membership.group() + '/' + membership.epoch(), (key) -> new ArrayList<>())
					.add(entry));
		}
		List<GroupView> groups = new ArrayList<>();
		for (List<TargetEntry> members : byGroup.values()) {
			members.sort(Comparator.comparingInt((TargetEntry member) -> member.membership().orElseThrow().rank())
				.thenComparing(TargetEntry::name));
			view(members, figures).ifPresent(groups::add);
		}
		return groups;
	}

	private static Optional<GroupView> view(List<TargetEntry> members, EngineFigures figures) {
		var membership = members.get(0).membership().orElseThrow();
		return model(members, membership.group(), figures)
			.map((model) -> new GroupView(membership.group(), membership.epoch(), model, List.copyOf(members)));
	}

	private static Optional<ModelFigures> model(List<TargetEntry> members, String group, EngineFigures figures) {
		return GroupNames.model(group)
			.or(() -> members.stream().flatMap((member) -> member.loaded().stream()).findFirst())
			.flatMap(figures::model);
	}

}
