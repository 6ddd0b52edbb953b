package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.ServiceName;

/**
 * How requests of one host and path prefix are served.
 *
 * @param name the route's name
 * @param host the host that callers name, in lower case
 * @param pathPrefix begins the path; it begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout how long a caller may be kept waiting for the whole answer
 * @param latencyTarget time to a whole answer, or to the first event, that earns full
 * credit
 * @param pauseTarget longest pause between events that is still on time
 * @param priority rank among routes, 0 is the most urgent
 * @param services where the requests go
 * @param maximumAttempts number of targets that one request may be sent to
 * @param allowsAnonymousCallers whether callers need no key
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, Duration timeout,
		Duration latencyTarget, Optional<Duration> pauseTarget, int priority, List<WeightedService> services,
		int maximumAttempts, boolean allowsAnonymousCallers) {

	/**
	 * Copies the services.
	 */
	public Route {
		services = List.copyOf(services);
	}

	/**
	 * Picks a service by weight.
	 * @param draw a random number from 0 to 1
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
