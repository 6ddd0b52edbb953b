package sycamorehill.model.serving;

import java.util.Optional;

import sycamorehill.model.identity.ServiceName;

/**
 * A service as the configuration describes it.
 *
 * @param name the service's name
 * @param maximumConnections connections that one of its targets accepts from all callers
 * together
 * @param engines what its model engines do; empty for plain services
 */
public record ServiceParameters(ServiceName name, int maximumConnections, Optional<EngineParameters> engines) {
}
