package sycamorehill.logic.layout;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Holds the inventories of all fabric domains. Engines without a domain are left out,
 * because they can be in no group.
 */
final class DomainInventories {

	private final Map<String, DomainInventory> byDomain = new TreeMap<>();

	private DomainInventories() {
	}

	static DomainInventories create() {
		return new DomainInventories();
	}

	void addGroup(ModelParameters model, TargetEntry head) {
		head.domain().ifPresent((domain) -> inventoryOf(domain, head).addGroup(model));
	}

	void addSpare(SpareEngine spare) {
		spare.entry().domain().ifPresent((domain) -> inventoryOf(domain, spare.entry()).addSpare(spare));
	}

	List<DomainInventory> all() {
		return List.copyOf(this.byDomain.values());
	}

	private DomainInventory inventoryOf(String domain, TargetEntry engine) {
		return this.byDomain.computeIfAbsent(domain, (name) -> DomainInventory.of(name, engine.dataCentre()));
	}

}
