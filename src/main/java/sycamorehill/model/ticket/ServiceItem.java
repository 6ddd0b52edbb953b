package sycamorehill.model.ticket;

import java.util.List;

import sycamorehill.model.identity.ServiceName;

/**
 * A service that callers request.
 *
 * @param name the name of the service
 * @param kind whether model groups or plain targets serve it
 * @param model the model that its groups load, empty for a plain service
 * @param modelVersion the version of the model, empty for a plain service
 * @param plainTargets the addresses of a plain service, empty for a model service
 * @param repeatRules the rules that declare which calls of a plain service are idempotent
 */
public record ServiceItem(ServiceName name, ServiceKind kind, String model, String modelVersion,
		List<PlainTarget> plainTargets, List<IdempotencyRule> repeatRules) implements Item {

	/**
	 * Replaces missing values by empty ones and copies the lists.
	 */
	public ServiceItem {
		model = (model != null) ? model : "";
		modelVersion = (modelVersion != null) ? modelVersion : "";
		plainTargets = (plainTargets != null) ? List.copyOf(plainTargets) : List.of();
		repeatRules = (repeatRules != null) ? List.copyOf(repeatRules) : List.of();
	}

	/**
	 * Creates a model service.
	 * @param name the name of the service
	 * @param model the model to load
	 * @param modelVersion the version of the model
	 * @return the item
	 */
	public static ServiceItem model(ServiceName name, String model, String modelVersion) {
		return new ServiceItem(name, ServiceKind.MODEL, model, modelVersion, List.of(), List.of());
	}

	/**
	 * Creates a plain service.
	 * @param name the name of the service
	 * @param targets the addresses of the service
	 * @param rules the rules that declare which calls are idempotent
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
	 * Tells whether a call is idempotent. All calls of a model service are; for a plain
	 * service, the first matching rule applies.
	 * @param method the HTTP method
	 * @param path the path after the name of the service
	 * @return whether the call may be retried
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
