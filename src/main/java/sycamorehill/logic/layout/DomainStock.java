package sycamorehill.logic.layout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.ModelFigures;

/**
 * What one fabric domain has while a plan is made: its groups by model, and its spare
 * engines that the plan has given no purpose yet.
 */
final class DomainStock {

	private final String domain;

	private final DataCentreName dataCentre;

	private final Map<String, Integer> groups = new HashMap<>();

	private final List<SpareEngine> spares = new ArrayList<>();

	private DomainStock(String domain, DataCentreName dataCentre) {
		this.domain = domain;
		this.dataCentre = dataCentre;
	}

	static DomainStock of(String domain, DataCentreName dataCentre) {
		return new DomainStock(domain, dataCentre);
	}

	String domain() {
		return this.domain;
	}

	DataCentreName dataCentre() {
		return this.dataCentre;
	}

	void addGroup(ModelFigures model) {
		this.groups.merge(model.name(), 1, Integer::sum);
	}

	void addSpare(SpareEngine spare) {
		this.spares.add(spare);
	}

	int groups(ModelFigures model) {
		return this.groups.getOrDefault(model.name(), 0);
	}

	List<SpareEngine> spares() {
		return List.copyOf(this.spares);
	}

	void take(List<SpareEngine> chosen) {
		this.spares.removeAll(chosen);
	}

	/**
	 * The engines that can join a group of a model at once.
	 * @param model the model
	 * @return the engines, by name
	 */
	List<SpareEngine> ready(ModelFigures model) {
		return this.spares.stream()
			.filter((spare) -> spare.ready(model))
			.sorted(Comparator.comparing((spare) -> spare.entry().name()))
			.toList();
	}

	long holders(ModelFigures model) {
		return this.spares.stream().filter((spare) -> spare.holds(model)).count();
	}

}
