package sycamorehill.logic.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.serving.Route;

/**
 * Finds the route of a request: among those of its host, the one with the longest prefix
 * of its path. A lookup costs one hash probe per path segment, however many routes there
 * are.
 */
final class RouteTable {

	private final Map<String, Map<String, Route>> byHost;

	private RouteTable(Map<String, Map<String, Route>> byHost) {
		this.byHost = byHost;
	}

	static RouteTable of(List<Route> routes) {
		Map<String, Map<String, Route>> byHost = new HashMap<>();
		for (Route route : routes) {
			byHost.computeIfAbsent(route.host(), (host) -> new HashMap<>()).put(route.pathPrefix(), route);
		}
		return new RouteTable(byHost);
	}

	Optional<Route> find(String host, String path) {
		Map<String, Route> ofHost = this.byHost.get(host);
		if (ofHost == null) {
			return Optional.empty();
		}
		for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
			Route route = ofHost.get(path.substring(0, slash + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

}
