package sycamorehill.model.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.ServiceName;

/**
 * One version of the configuration, whole.
 *
 * @param version grows with each change
 * @param routes all routes
 * @param services all services by name
 * @param limits bounds on what callers send
 * @param workspacesByApiKey the workspace of each key
 * @param requiresApiKeys whether callers of routes that aren't open need a key
 */
public record Configuration(long version, List<Route> routes, Map<ServiceName, ServiceParameters> services,
		CallerLimits limits, Map<String, Workspace> workspacesByApiKey, boolean requiresApiKeys) {

	/**
	 * Copies the collections.
	 */
	public Configuration {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
		workspacesByApiKey = Map.copyOf(workspacesByApiKey);
	}

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service, if the configuration names it
	 */
	public Optional<ServiceParameters> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

}
