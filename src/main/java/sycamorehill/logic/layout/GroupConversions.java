package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;

/**
 * Moves engines from a model that has more groups than desired to one that lacks groups.
 *
 * The hosts of a group load the weights of the other model while the group still serves.
 * Only when all hold them, the group finishes its requests and is disbanded, and its
 * engines form groups of the other model within 2 s.
 */
final class GroupConversions {

	/**
	 * Time that the requests of all models must have been observed. A node that has just
	 * become controller, or a system whose callers have just begun to send, knows only
	 * part of them.
	 */
	private static final Duration MINIMUM_OBSERVATION_TIME = Duration.ofSeconds(3);

	private final ModelDemand demand;

	private final WeightLoadTracker loads;

	private final TargetDirectory directory;

	private final Map<GroupKey, ModelParameters> conversions = new HashMap<>();

	private GroupConversions(ModelDemand demand, WeightLoadTracker loads, TargetDirectory directory) {
		this.demand = demand;
		this.loads = loads;
		this.directory = directory;
	}

	static GroupConversions of(ModelDemand demand, WeightLoadTracker loads, TargetDirectory directory) {
		return new GroupConversions(demand, loads, directory);
	}

	void clear() {
		this.conversions.clear();
	}

	void keepOnly(Set<GroupKey> seen) {
		this.conversions.keySet().retainAll(seen);
	}

	/**
	 * Returns whether a group must be disbanded, because all its engines hold the weights
	 * of the model that they are needed for.
	 * @param group the group as currently seen
	 * @return true if its conversion is prepared
	 */
	boolean isPrepared(GroupView group) {
		ModelParameters model = this.conversions.get(group.key());
		return model != null && !this.directory.isEvacuated(group.head())
				&& group.members().stream().allMatch((member) -> member.staged().contains(model.name()));
	}

	/**
	 * Starts and cancels conversions, and returns the loads that they need.
	 * @param parameters the parameters of the engines
	 * @param counts the desired number of groups of each model
	 * @param groups the groups that serve or are being formed
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return the loads to start
	 */
	List<LayoutPlan.Load> plan(EngineParameters parameters, LayoutPlan.DesiredGroupCounts counts,
			List<GroupView> groups, Instant now, Effects effects) {
		if (!this.demand.isObservedFor(MINIMUM_OBSERVATION_TIME, now)) {
			return List.of();
		}
		cancelUnneeded(counts, groups);
		startNext(parameters, counts, groups, effects);
		List<LayoutPlan.Load> required = new ArrayList<>();
		for (GroupView group : groups) {
			ModelParameters model = this.conversions.get(group.key());
			if (model != null) {
				group.members()
					.stream()
					.filter((member) -> !member.staged().contains(model.name())
							&& this.loads.loadingModel(member).isEmpty())
					.forEach((member) -> required.add(new LayoutPlan.Load(model, member, false)));
			}
		}
		return required;
	}

	private void cancelUnneeded(LayoutPlan.DesiredGroupCounts counts, List<GroupView> groups) {
		for (GroupView group : groups) {
			boolean surplus = count(group.model(), groups) > counts.desired(group.model());
			if ((!surplus && !isPrepared(group)) || this.directory.isEvacuated(group.head())) {
				this.conversions.remove(group.key());
			}
		}
	}

	// A conversion starts only if the other model lacks all the engines that it frees;
	// otherwise groups would be moved to and fro as the load varies. More loads than run
	// at full speed would delay each other, and those of groups that lost a member.
	private void startNext(EngineParameters parameters, LayoutPlan.DesiredGroupCounts counts, List<GroupView> groups,
			Effects effects) {
		for (ModelParameters lacking : parameters.models()) {
			int lackingEngines = (counts.desired(lacking) - count(lacking, groups)) * lacking.groupSize()
					- convertingEngines(lacking, groups);
			parameters.models()
				.stream()
				.filter((model) -> !model.equals(lacking) && model.groupSize() <= lackingEngines
						&& count(model, groups) - converting(model, groups) > counts.desired(model)
						&& this.loads.running() + model.groupSize() <= parameters.fullSpeedLoads())
				.findFirst()
				.flatMap((model) -> chooseGroup(model, groups))
				.ifPresent((group) -> start(group, lacking, effects));
		}
	}

	private void start(GroupView group, ModelParameters lacking, Effects effects) {
		this.conversions.put(group.key(), lacking);
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " epoch=" + group.epoch()
				+ " has its hosts load the weights of " + lacking.name() + ", which lacks groups");
	}

	private Optional<GroupView> chooseGroup(ModelParameters model, List<GroupView> groups) {
		return groups.stream()
			.filter((group) -> group.model().equals(model) && group.serving()
					&& !this.conversions.containsKey(group.key()) && !this.directory.isEvacuated(group.head()))
			.min(Comparator.comparing(GroupView::name));
	}

	private static int count(ModelParameters model, List<GroupView> groups) {
		return (int) groups.stream().filter((group) -> group.model().equals(model)).count();
	}

	private int converting(ModelParameters from, List<GroupView> groups) {
		return (int) groups.stream()
			.filter((group) -> group.model().equals(from) && this.conversions.containsKey(group.key()))
			.count();
	}

	private int convertingEngines(ModelParameters to, List<GroupView> groups) {
		return groups.stream()
			.filter((group) -> to.equals(this.conversions.get(group.key())))
			.mapToInt((group) -> group.model().groupSize())
			.sum();
	}

}
