package sycamorehill.logic.layout;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * The stocks of all fabric domains. Engines without a domain are in no group.
 */
final class DomainStocks {

	private final Map<String, DomainStock> byDomain = new TreeMap<>();

	private DomainStocks() {
	}

	static DomainStocks create() {
		return new DomainStocks();
	}

	void addGroup(ModelFigures model, TargetEntry head) {
		head.domain().ifPresent((domain) -> of(domain, head).addGroup(model));
	}

	void addSpare(SpareEngine spare) {
		spare.entry().domain().ifPresent((domain) -> of(domain, spare.entry()).addSpare(spare));
	}

	List<DomainStock> all() {
		return List.copyOf(this.byDomain.values());
	}

	private DomainStock of(String domain, TargetEntry engine) {
		return this.byDomain.computeIfAbsent(domain, (name) -> DomainStock.of(name, engine.dataCentre()));
	}

}
