package sycamorehill.logic.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ServiceParameters;

/**
 * Knows the services and models of the configurations so far. Another node sends requests
 * through this one that arrived there under an earlier configuration, and may be in
 * flight when their service or model is removed.
 */
final class KnownServices {

	/** Maximum number of services and models that are remembered after their removal. */
	private static final int MAXIMUM_REMEMBERED = 256;

	private final Map<ModelKey, ServiceParameters> remembered = new LinkedHashMap<>();

	private KnownServices() {
	}

	static KnownServices create() {
		return new KnownServices();
	}

	void adopt(Configuration configuration) {
		for (ServiceParameters service : configuration.services().values()) {
			remember(new ModelKey(service.name(), Optional.empty()), service);
			service.engines()
				.map(EngineParameters::models)
				.ifPresent((models) -> models
					.forEach((model) -> remember(new ModelKey(service.name(), Optional.of(model.name())), service)));
		}
		while (this.remembered.size() > MAXIMUM_REMEMBERED) {
			this.remembered.remove(this.remembered.keySet().iterator().next());
		}
	}

	private void remember(ModelKey key, ServiceParameters service) {
		this.remembered.remove(key);
		this.remembered.put(key, service);
	}

	/**
	 * Finds the parameters of a service by which the targets of a request are selected.
	 * @param service the service
	 * @param model the requested model
	 * @return the parameters of the newest configuration that contains the service, and
	 * the model if any did
	 */
	Optional<ServiceParameters> find(ServiceName service, Optional<String> model) {
		return Optional.ofNullable(this.remembered.get(new ModelKey(service, model)))
			.or(() -> Optional.ofNullable(this.remembered.get(new ModelKey(service, Optional.empty()))));
	}

	/**
	 * A service, or a model of it.
	 *
	 * @param service the service
	 * @param model the model; empty for the service itself
	 */
	private record ModelKey(ServiceName service, Optional<String> model) {
	}

}
