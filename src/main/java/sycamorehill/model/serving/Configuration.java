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
 * @param workspaces the workspace of each key
 * @param keysNeeded whether callers of routes that aren't open need a key
 */
public record Configuration(long version, List<Route> routes, Map<ServiceName, ServiceFigures> services,
		CallerLimits limits, Map<String, Workspace> workspaces, boolean keysNeeded) {

	/**
	 * Copies the collections.
	 */
	public Configuration {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
		workspaces = Map.copyOf(workspaces);
	}

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service, if the configuration names it
	 */
	public Optional<ServiceFigures> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

}
