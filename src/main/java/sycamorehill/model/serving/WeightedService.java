package sycamorehill.model.serving;

import sycamorehill.model.identity.ServiceName;

/**
 * A service with its weight in a route.
 *
 * @param service the service
 * @param weight its share of the requests, relative to the sum of the route's weights
 */
public record WeightedService(ServiceName service, int weight) {
}
