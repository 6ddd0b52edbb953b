package sycamorehill.model.serving;

import sycamorehill.model.identity.ServiceName;

/**
 * A service that a route leads to, with its part of the requests.
 *
 * @param service the service
 * @param weight its part, against the sum of the route's weights
 */
public record WeightedService(ServiceName service, int weight) {
}
