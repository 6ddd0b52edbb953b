package sycamorehill.logic.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Assembles groups from the memberships that engines report.
 */
public final class GroupViews {

	private static final Comparator<TargetEntry> BY_RANK = Comparator
		.comparingInt((TargetEntry member) -> member.membership().orElseThrow().rank())
		.thenComparing(TargetEntry::name);

	private static final Comparator<GroupView> BY_NAME = Comparator.comparing(GroupView::name)
		.thenComparingLong(GroupView::epoch);

	private GroupViews() {
	}

	/**
	 * Returns the groups of one service.
	 * @param entries the service's engines
	 * @param vanished the last known entries of engines that vanished
	 * @param parameters the parameters of the service's engines
	 * @return all groups that at least one engine in the directory reports, sorted by
	 * name and epoch
	 */
	public static List<GroupView> of(List<TargetEntry> entries, Collection<TargetEntry> vanished,
			EngineParameters parameters) {
		return of(entries, vanished, (group) -> group.modelName().flatMap(parameters::model));
	}

	/**
	 * Returns the groups of one service.
	 * @param entries the service's engines
	 * @param vanished the last known entries of engines that vanished
	 * @param models finds the model of a group; groups without one are left out
	 * @return the groups that at least one engine in the directory reports, sorted by
	 * name and epoch
	 */
	public static List<GroupView> of(List<TargetEntry> entries, Collection<TargetEntry> vanished,
			Function<ReportedGroup, Optional<ModelParameters>> models) {
		Map<GroupKey, List<TargetEntry>> byGroup = new HashMap<>();
		for (TargetEntry entry : entries) {
			entry.membership()
				.ifPresent((membership) -> byGroup.computeIfAbsent(GroupKey.of(membership), (key) -> new ArrayList<>())
					.add(entry));
		}
		Set<TargetName> vanishedNames = new HashSet<>();
		for (TargetEntry entry : vanished) {
			vanishedNames.add(entry.name());
			// A group without any engine left in the directory can't be used or changed.
			entry.membership().map(GroupKey::of).map(byGroup::get).ifPresent((members) -> members.add(entry));
		}
		List<GroupView> groups = new ArrayList<>();
		for (List<TargetEntry> members : byGroup.values()) {
			members.sort(BY_RANK);
			createView(members, vanishedNames, models).ifPresent(groups::add);
		}
		groups.sort(BY_NAME);
		return groups;
	}

	private static Optional<GroupView> createView(List<TargetEntry> members, Set<TargetName> vanishedNames,
			Function<ReportedGroup, Optional<ModelParameters>> models) {
		Set<TargetName> vanished = vanishedNames.isEmpty() ? Set.of()
				: members.stream().map(TargetEntry::name).filter(vanishedNames::contains).collect(Collectors.toSet());
		var membership = members.get(0).membership().orElseThrow();
		return models.apply(new ReportedGroup(GroupKey.of(membership), members))
			.map((model) -> new GroupView(membership.group(), membership.epoch(), model, List.copyOf(members),
					vanished));
	}

	/**
	 * A group as its members report it, before its model is found.
	 *
	 * @param key identifies the group
	 * @param members the known members, sorted by rank
	 */
	public record ReportedGroup(GroupKey key, List<TargetEntry> members) {

		/**
		 * Finds the name of the group's model.
		 * @return the name; empty if neither the group's name nor a member contains it
		 */
		public Optional<String> modelName() {
			return GroupNames.model(this.key.group())
				.or(() -> this.members.stream().flatMap((member) -> member.loaded().stream()).findFirst());
		}

		/**
		 * Returns the number of members that the reported ranks show.
		 * @return one more than the highest rank
		 */
		public int reportedSize() {
			return this.members.get(this.members.size() - 1).membership().orElseThrow().rank() + 1;
		}

	}

}
