package sycamorehill.model.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;

/**
 * A complete version of the configuration.
 *
 * @param version version number, which grows with each change
 * @param routes all routes
 * @param services all services by name
 * @param limits limits on callers' requests
 * @param workspacesByApiKey workspace of each API key
 * @param requiresApiKeys whether callers need an API key for routes that don't allow
 * anonymous callers
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
	 * Returns a service by its name.
	 * @param name the service's name
	 * @return the service, or empty if the configuration doesn't contain it
	 */
	public Optional<ServiceParameters> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the names of all workspaces.
	 * @return the names
	 */
	public Set<WorkspaceName> workspaces() {
		return this.workspacesByApiKey.values().stream().map(Workspace::name).collect(Collectors.toUnmodifiableSet());
	}

}
