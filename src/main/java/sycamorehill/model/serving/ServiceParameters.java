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
 * @param warmUp what its targets tolerate while they are cold; empty if they never are
 */
public record ServiceParameters(ServiceName name, int maximumConnections, Optional<EngineParameters> engines,
		Optional<WarmUp> warmUp) {

	/**
	 * Creates the parameters of a service whose targets are never cold.
	 * @param name the service's name
	 * @param maximumConnections number of connections that one of its targets accepts
	 * @param engines parameters of its model engines; empty for plain services
	 */
	public ServiceParameters(ServiceName name, int maximumConnections, Optional<EngineParameters> engines) {
		this(name, maximumConnections, engines, Optional.empty());
	}

	/**
	 * Returns the parameters of a service that a route names and the configuration lacks.
	 * @param name the service's name
	 * @return parameters of a plain service
	 */
	public static ServiceParameters unknown(ServiceName name) {
		return new ServiceParameters(name, 1, Optional.empty());
	}

}
