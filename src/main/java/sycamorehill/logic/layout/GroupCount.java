package sycamorehill.logic.layout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.logic.directory.GroupView;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.ModelFigures;

/**
 * Counts the groups of each model, over all data centres and in each.
 */
final class GroupCount {

	private final Map<String, Integer> counts = new HashMap<>();

	private final Map<String, Integer> loading = new HashMap<>();

	private GroupCount() {
	}

	/**
	 * Counts.
	 * @param standing groups seen that are not being taken apart
	 * @param forming groups being formed
	 * @return the counts
	 */
	static GroupCount of(List<GroupView> standing, Collection<FormingGroup> forming) {
		GroupCount count = new GroupCount();
		for (GroupView group : standing) {
			if (forming.stream().noneMatch((other) -> other.name().equals(group.name()))) {
				count.add(group.model(), group.head().dataCentre());
			}
		}
		forming.forEach(count::add);
		return count;
	}

	void add(FormingGroup group) {
		add(group.model(), group.members().get(0).dataCentre());
		if (group.loads() > 0) {
			this.loading.merge(group.model().name(), 1, Integer::sum);
		}
	}

	private void add(ModelFigures model, DataCentreName dataCentre) {
		this.counts.merge(model.name(), 1, Integer::sum);
		this.counts.merge(model.name() + '@' + dataCentre, 1, Integer::sum);
	}

	int total(ModelFigures model) {
		return this.counts.getOrDefault(model.name(), 0);
	}

	/**
	 * Counts the groups that serve or will within 2 s, which leaves out those that load.
	 * @param model the model
	 * @return the number of groups
	 */
	int soon(ModelFigures model) {
		return total(model) - this.loading.getOrDefault(model.name(), 0);
	}

	int in(ModelFigures model, DataCentreName dataCentre) {
		return this.counts.getOrDefault(model.name() + '@' + dataCentre, 0);
	}

}
