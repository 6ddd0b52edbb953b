package sycamorehill.logic.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.serving.Route;

/**
 * Finds the route of a request: among the routes of its host, the one with the longest
 * matching path prefix. A lookup takes one hash probe per path segment, independent of
 * the number of routes.
 */
final class RouteTable {

	private final Map<String, Map<String, Route>> routesByHost;

	private RouteTable(Map<String, Map<String, Route>> routesByHost) {
		this.routesByHost = routesByHost;
	}

	static RouteTable of(List<Route> routes) {
		Map<String, Map<String, Route>> routesByHost = new HashMap<>();
		for (Route route : routes) {
			routesByHost.computeIfAbsent(route.host(), (host) -> new HashMap<>()).put(route.pathPrefix(), route);
		}
		return new RouteTable(routesByHost);
	}

	Optional<Route> find(String host, String path) {
		Map<String, Route> hostRoutes = this.routesByHost.get(host);
		if (hostRoutes == null) {
			return Optional.empty();
		}
		for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
			Route route = hostRoutes.get(path.substring(0, slash + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

}
