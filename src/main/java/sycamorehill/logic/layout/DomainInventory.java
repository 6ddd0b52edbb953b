package sycamorehill.logic.layout;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.ModelParameters;

/**
 * Holds the groups of one fabric domain by model, and its spare engines that the plan has
 * not assigned yet.
 */
final class DomainInventory {

	private final String domain;

	private final DataCentreName dataCentre;

	private final Map<String, Integer> groups = new HashMap<>();

	private final Map<TargetName, SpareEngine> spares = new LinkedHashMap<>();

	private int spareChanges;

	private DomainInventory(String domain, DataCentreName dataCentre) {
		this.domain = domain;
		this.dataCentre = dataCentre;
	}

	static DomainInventory of(String domain, DataCentreName dataCentre) {
		return new DomainInventory(domain, dataCentre);
	}

	String domain() {
		return this.domain;
	}

	DataCentreName dataCentre() {
		return this.dataCentre;
	}

	void addGroup(ModelParameters model) {
		this.groups.merge(model.name(), 1, Integer::sum);
	}

	void addSpare(SpareEngine spare) {
		this.spares.put(spare.entry().name(), spare);
		this.spareChanges++;
	}

	int groups(ModelParameters model) {
		return this.groups.getOrDefault(model.name(), 0);
	}

	Collection<SpareEngine> spares() {
		return Collections.unmodifiableCollection(this.spares.values());
	}

	void removeSpares(List<SpareEngine> removed) {
		removed.forEach((spare) -> this.spares.remove(spare.entry().name()));
		this.spareChanges++;
	}

	/**
	 * Returns the number of changes of the spares. Results that were derived from the
	 * spares are valid as long as it is the same.
	 * @return the number of changes
	 */
	int spareChanges() {
		return this.spareChanges;
	}

	/**
	 * Returns the spare engines that can join a group of a model at once.
	 * @param model the model
	 * @return the spare engines, sorted by name
	 */
	List<SpareEngine> readySpares(ModelParameters model) {
		return this.spares.values()
			.stream()
			.filter((spare) -> spare.ready(model))
			.sorted(Comparator.comparing((spare) -> spare.entry().name()))
			.toList();
	}

	long countHolders(ModelParameters model) {
		return this.spares.values().stream().filter((spare) -> spare.holds(model)).count();
	}

}
