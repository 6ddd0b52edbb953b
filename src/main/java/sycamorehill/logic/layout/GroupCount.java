package sycamorehill.logic.layout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import sycamorehill.logic.directory.GroupView;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.ModelFigures;

/**
 * Counts the groups of each model, over all data centres and in each.
 */
final class GroupCount {

	private final Map<String, Integer> counts = new HashMap<>();

	private GroupCount() {
	}

	static GroupCount of(List<GroupView> seen, Collection<FormingGroup> forming, Set<String> dissolved,
			Set<String> dissolving) {
		GroupCount count = new GroupCount();
		for (GroupView group : seen) {
			String key = group.name() + '/' + group.epoch();
			boolean ours = forming.stream().anyMatch((other) -> other.name().equals(group.name()));
			if (!dissolved.contains(key) && !dissolving.contains(key) && !ours) {
				count.add(group.model(), group.head().dataCentre());
			}
		}
		forming.forEach(count::add);
		return count;
	}

	void add(FormingGroup group) {
		add(group.model(), group.members().get(0).dataCentre());
	}

	private void add(ModelFigures model, DataCentreName dataCentre) {
		this.counts.merge(model.name(), 1, Integer::sum);
		this.counts.merge(model.name() + '@' + dataCentre, 1, Integer::sum);
	}

	int total(ModelFigures model) {
		return this.counts.getOrDefault(model.name(), 0);
	}

	int in(ModelFigures model, DataCentreName dataCentre) {
		return this.counts.getOrDefault(model.name() + '@' + dataCentre, 0);
	}

}
