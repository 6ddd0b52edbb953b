package sycamorehill.model.ticket;

import java.util.List;

import sycamorehill.model.identity.ServiceName;

/**
 * A service that callers ask for.
 *
 * @param name the service's name
 * @param kind what answers it
 * @param model the model that its groups load, empty for a plain service
 * @param modelVersion the model's version, empty for a plain service
 * @param plainTargets the addresses of a plain service, empty for a model service
 * @param repeatRules which calls of a plain service are idempotent
 */
public record ServiceItem(ServiceName name, ServiceKind kind, String model, String modelVersion,
		List<PlainTarget> plainTargets, List<IdempotencyRule> repeatRules) implements Item {

	/**
	 * Takes copies of the lists.
	 */
	public ServiceItem {
		model = (model != null) ? model : "";
		modelVersion = (modelVersion != null) ? modelVersion : "";
		plainTargets = (plainTargets != null) ? List.copyOf(plainTargets) : List.of();
		repeatRules = (repeatRules != null) ? List.copyOf(repeatRules) : List.of();
	}

	/**
	 * Creates a model service.
	 * @param name the service's name
	 * @param model the model to load
	 * @param modelVersion its version
	 * @return the item
	 */
	public static ServiceItem model(ServiceName name, String model, String modelVersion) {
		return new ServiceItem(name, ServiceKind.MODEL, model, modelVersion, List.of(), List.of());
	}

	/**
	 * Creates a plain service.
	 * @param name the service's name
	 * @param targets its addresses
	 * @param rules which of its calls are idempotent
	 * @return the item
	 */
	public static ServiceItem plain(ServiceName name, List<PlainTarget> targets, List<IdempotencyRule> rules) {
		return new ServiceItem(name, ServiceKind.PLAIN, "", "", targets, rules);
	}

	@Override
	public ItemKey key() {
		return ItemKey.of(ItemKind.SERVICE, this.name.value());
	}

	/**
	 * Whether a call is idempotent by the service's own word.
	 * @param method the HTTP method
	 * @param path the path after the service's name
	 * @return whether the call may be sent more than once
	 */
	public boolean isIdempotent(String method, String path) {
		if (this.kind == ServiceKind.MODEL) {
			return true;
		}
		return this.repeatRules.stream()
			.filter((rule) -> rule.matches(method, path))
			.findFirst()
			.map(IdempotencyRule::repeatable)
			.orElse(false);
	}

}
