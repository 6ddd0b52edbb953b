package sycamorehill.model.serving;

import java.util.Optional;

import sycamorehill.model.identity.ServiceName;

/**
 * Parameters of a service.
 *
 * @param name the service's name
 * @param maximumConnections number of connections that one of its targets accepts from
 * all callers together
 * @param engines parameters of its model engines; empty for plain services
 */
public record ServiceParameters(ServiceName name, int maximumConnections, Optional<EngineParameters> engines) {
}
