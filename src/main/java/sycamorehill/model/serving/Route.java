package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.ServiceName;

/**
 * Defines how requests of one host and path prefix are served.
 *
 * @param name the route's name
 * @param host the host that callers address, in lower case
 * @param pathPrefix prefix of the path, which starts and ends with a slash
 * @param kind whether the requests may be repeated
 * @param timeout maximum time for which a caller waits for the complete answer
 * @param latencyTarget maximum time to the complete answer, or to the first event of a
 * stream, that earns full credit
 * @param pauseTarget maximum pause between events that is still on time
 * @param priority priority among routes, 0 is the most urgent
 * @param services services that receive the requests
 * @param maximumAttempts maximum number of targets to which one request may be sent
 * @param allowsAnonymousCallers whether callers need no API key
 * @param homes regions in which the requests may be served; empty if all may
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, Duration timeout,
		Duration latencyTarget, Optional<Duration> pauseTarget, int priority, List<WeightedService> services,
		int maximumAttempts, boolean allowsAnonymousCallers, Set<RegionName> homes) {

	/**
	 * Copies the services and the regions.
	 */
	public Route {
		services = List.copyOf(services);
		homes = Set.copyOf(homes);
	}

	/**
	 * Creates a route whose requests may be served in all regions.
	 * @param name the route's name
	 * @param host the host that callers address, in lower case
	 * @param pathPrefix prefix of the path
	 * @param kind whether the requests may be repeated
	 * @param timeout maximum time for which a caller waits for the complete answer
	 * @param latencyTarget maximum time that earns full credit
	 * @param pauseTarget maximum pause between events that is still on time
	 * @param priority priority among routes, 0 is the most urgent
	 * @param services services that receive the requests
	 * @param maximumAttempts maximum number of targets to which one request may be sent
	 * @param allowsAnonymousCallers whether callers need no API key
	 */
	public Route(String name, String host, String pathPrefix, RequestKind kind, Duration timeout,
			Duration latencyTarget, Optional<Duration> pauseTarget, int priority, List<WeightedService> services,
			int maximumAttempts, boolean allowsAnonymousCallers) {
		this(name, host, pathPrefix, kind, timeout, latencyTarget, pauseTarget, priority, services, maximumAttempts,
				allowsAnonymousCallers, Set.of());
	}

	/**
	 * Selects a service by weight.
	 * @param draw random number from 0 to 1
	 * @return the service
	 */
	public ServiceName selectService(double draw) {
		int totalWeight = this.services.stream().mapToInt(WeightedService::weight).sum();
		double remaining = draw * totalWeight;
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
