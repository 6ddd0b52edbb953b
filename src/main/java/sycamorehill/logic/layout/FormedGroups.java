package sycamorehill.logic.layout;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.GroupViews;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Views the groups of a service as they were formed. A configuration may have removed the
 * model of a group since, or changed its size, while the group still answers requests:
 * its engines are neither free nor missing.
 */
final class FormedGroups {

	private final Map<GroupKey, ModelParameters> formedAs = new HashMap<>();

	void clear() {
		this.formedAs.clear();
	}

	void keepOnly(Set<GroupKey> seen) {
		this.formedAs.keySet().retainAll(seen);
	}

	/**
	 * Returns the groups of the service, whatever the configuration contains.
	 * @param engines the service's engines
	 * @param vanished the last known entries of engines that vanished
	 * @param parameters the parameters in the configuration
	 * @return the groups
	 */
	List<GroupView> view(List<TargetEntry> engines, Collection<TargetEntry> vanished, EngineParameters parameters) {
		List<GroupView> groups = GroupViews.of(engines, vanished, (group) -> Optional.of(findModel(group, parameters)));
		groups.stream()
			.filter(GroupView::allRanksReported)
			.forEach((group) -> this.formedAs.put(group.key(), group.model()));
		return groups;
	}

	private ModelParameters findModel(GroupViews.ReportedGroup group, EngineParameters parameters) {
		Optional<ModelParameters> configured = group.modelName().flatMap(parameters::model);
		Optional<ModelParameters> formed = Optional.ofNullable(this.formedAs.get(group.key()));
		if (configured.isPresent()
				&& formed.filter((model) -> model.groupSize() != configured.get().groupSize()).isEmpty()) {
			return configured.get();
		}
		return formed.orElseGet(() -> unconfigured(group));
	}

	private static ModelParameters unconfigured(GroupViews.ReportedGroup group) {
		return new ModelParameters(group.modelName().orElseGet(() -> group.key().group()), group.reportedSize(), 0, 1,
				Duration.ZERO, Duration.ZERO);
	}

	/**
	 * Returns whether the configuration contains the model of a group in the group's
	 * size.
	 * @param group the group
	 * @param parameters the parameters in the configuration
	 * @return false if the group must finish its requests and end
	 */
	static boolean isConfigured(GroupView group, EngineParameters parameters) {
		return parameters.model(group.model().name())
			.filter((model) -> model.groupSize() == group.model().groupSize())
			.isPresent();
	}

}
