package sycamorehill.logic.layout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Counts which models the engines of each fabric domain hold or are given.
 */
final class DomainHolders {

	private final Map<String, Map<String, Integer>> byDomain = new HashMap<>();

	private DomainHolders() {
	}

	static DomainHolders of(List<TargetEntry> engines, Collection<FormingGroup> forming) {
		DomainHolders holders = new DomainHolders();
		for (TargetEntry engine : engines) {
			boolean given = forming.stream().anyMatch((group) -> group.hasMember(engine.name()));
			if (!given) {
				engine.staged().forEach((model) -> holders.add(engine, model));
			}
		}
		forming.forEach(holders::add);
		return holders;
	}

	void add(FormingGroup group) {
		group.members().forEach((member) -> add(member, group.model().name()));
	}

	private void add(TargetEntry engine, String model) {
		engine.domain()
			.ifPresent((domain) -> this.byDomain.computeIfAbsent(domain, (key) -> new HashMap<>())
				.merge(model, 1, Integer::sum));
	}

	int of(String domain, ModelFigures model) {
		return this.byDomain.getOrDefault(domain, Map.of()).getOrDefault(model.name(), 0);
	}

	/**
	 * Counts the engines of a domain that hold other models.
	 * @param domain the domain
	 * @param model the model
	 * @return the number of engines
	 */
	int others(String domain, ModelFigures model) {
		int all = this.byDomain.getOrDefault(domain, Map.of()).values().stream().mapToInt(Integer::intValue).sum();
		return all - of(domain, model);
	}

}
