package sycamorehill.support;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.WeightedService;
import sycamorehill.model.serving.Workspace;

/**
 * Changes that an operator may make to the configuration of the samples.
 */
public enum ConfigurationChange {

	/** Changes nothing but the version. */
	NOTHING((configuration) -> configuration),

	/** Removes all routes. */
	ROUTES_REMOVED((configuration) -> withRoutes(configuration, Stream.of())),

	/** Moves all routes to a service without targets. */
	ROUTES_MOVED(ConfigurationChange::moveRoutes),

	/** Moves all routes and removes their services. */
	SERVICES_REMOVED((configuration) -> {
		Configuration moved = moveRoutes(configuration);
		return withServices(moved, Map.of(Names.OTHER, moved.services().get(Names.OTHER)));
	}),

	/** Removes the model that callers request. */
	MODEL_REMOVED((configuration) -> withModels(configuration, List.of(ServingSamples.LARGE))),

	/** Needs more engines for a group of the model than its groups have. */
	GROUP_SIZE_RAISED((configuration) -> withModels(configuration,
			List.of(ServingSamples.LARGE,
					new ModelParameters("small", 3, 0.5, 0.6, Duration.ofSeconds(12), Duration.ofMillis(1100))))),

	/** Makes the engines a service of plain targets. */
	ENGINES_REMOVED((configuration) -> withEngines(configuration, Optional.empty())),

	/** Removes all keys. */
	KEYS_REMOVED((configuration) -> withWorkspaces(configuration, Map.of())),

	/** Moves the key to another workspace. */
	KEY_MOVED((configuration) -> withWorkspaces(configuration,
			Map.of("key", new Workspace(WorkspaceName.of("other"), 1)))),

	/** Makes the workspace the least urgent one. */
	WORKSPACE_LOWERED((configuration) -> withWorkspaces(configuration,
			Map.of("key", new Workspace(WorkspaceName.of("yard"), 9)))),

	/** Shortens the timeouts of all routes below what has passed. */
	TIMEOUTS_SHORTENED((configuration) -> withRoutes(configuration, configuration.routes()
		.stream()
		.map((route) -> route(route, route.kind(), Duration.ofMillis(20), route.services(), route.maximumAttempts())))),

	/** Allows one attempt only. */
	ATTEMPTS_LOWERED((configuration) -> withRoutes(configuration,
			configuration.routes()
				.stream()
				.map((route) -> route(route, route.kind(), route.timeout(), route.services(), 1)))),

	/** Allows no repetition of any request. */
	KINDS_CHANGED((configuration) -> withRoutes(configuration,
			configuration.routes()
				.stream()
				.map((route) -> route(route, RequestKind.NON_IDEMPOTENT, route.timeout(), route.services(),
						route.maximumAttempts())))),

	/** Allows callers hardly anything. */
	CALLER_LIMITS_LOWERED((configuration) -> new Configuration(configuration.version(), configuration.routes(),
			configuration.services(), new CallerLimits(64, 1, Duration.ofMillis(10), Duration.ofMillis(20)),
			configuration.workspacesByApiKey(), configuration.requiresApiKeys())),

	/** Sends nearly all requests to a service without targets. */
	WEIGHTS_SHIFTED((configuration) -> withRoutes(withOtherService(configuration),
			configuration.routes()
				.stream()
				.map((route) -> route(route, route.kind(), route.timeout(),
						List.of(new WeightedService(Names.OTHER, 99),
								new WeightedService(route.services().get(0).service(), 1)),
						route.maximumAttempts())))),

	/** Adds many routes. */
	ROUTES_ADDED((configuration) -> withRoutes(configuration,
			Stream.concat(configuration.routes().stream(), IntStream.range(0, Names.ADDED_ROUTES).mapToObj((number) -> {
				Route sample = configuration.routes().get(0);
				String prefix = "/added" + number + "/";
				return new Route(prefix, sample.host(), prefix, sample.kind(), sample.timeout(), sample.latencyTarget(),
						Optional.empty(), 1, sample.services(), 1, false);
			}))));

	private final UnaryOperator<Configuration> change;

	ConfigurationChange(UnaryOperator<Configuration> change) {
		this.change = change;
	}

	/**
	 * Changes a configuration.
	 * @param configuration the configuration
	 * @param version version of the changed configuration
	 * @return the changed configuration
	 */
	public Configuration apply(Configuration configuration, long version) {
		Configuration changed = this.change.apply(configuration);
		return new Configuration(version, changed.routes(), changed.services(), changed.limits(),
				changed.workspacesByApiKey(), changed.requiresApiKeys());
	}

	private static Configuration moveRoutes(Configuration configuration) {
		return withRoutes(withOtherService(configuration),
				configuration.routes()
					.stream()
					.map((route) -> route(route, route.kind(), route.timeout(),
							List.of(new WeightedService(Names.OTHER, 1)), route.maximumAttempts())));
	}

	private static Configuration withOtherService(Configuration configuration) {
		Map<ServiceName, ServiceParameters> services = new HashMap<>(configuration.services());
		services.put(Names.OTHER, new ServiceParameters(Names.OTHER, 10, Optional.empty()));
		return withServices(configuration, services);
	}

	private static Configuration withModels(Configuration configuration, List<ModelParameters> models) {
		EngineParameters engines = configuration.services().get(ServingSamples.ENGINES).engines().orElseThrow();
		return withEngines(configuration, Optional.of(ServingSamples.withModels(engines, models)));
	}

	private static Configuration withEngines(Configuration configuration, Optional<EngineParameters> engines) {
		Map<ServiceName, ServiceParameters> services = new HashMap<>(configuration.services());
		services.put(ServingSamples.ENGINES, new ServiceParameters(ServingSamples.ENGINES, 268, engines));
		return withServices(configuration, services);
	}

	private static Route route(Route route, RequestKind kind, Duration timeout, List<WeightedService> services,
			int attempts) {
		return new Route(route.name(), route.host(), route.pathPrefix(), kind, timeout, route.latencyTarget(),
				route.pauseTarget(), route.priority(), services, attempts, route.allowsAnonymousCallers());
	}

	private static Configuration withRoutes(Configuration configuration, Stream<Route> routes) {
		return new Configuration(configuration.version(), routes.toList(), configuration.services(),
				configuration.limits(), configuration.workspacesByApiKey(), configuration.requiresApiKeys());
	}

	private static Configuration withServices(Configuration configuration,
			Map<ServiceName, ServiceParameters> services) {
		return new Configuration(configuration.version(), configuration.routes(), services, configuration.limits(),
				configuration.workspacesByApiKey(), configuration.requiresApiKeys());
	}

	private static Configuration withWorkspaces(Configuration configuration, Map<String, Workspace> workspaces) {
		return new Configuration(configuration.version(), configuration.routes(), configuration.services(),
				configuration.limits(), workspaces, true);
	}

	private static final class Names {

		private static final ServiceName OTHER = ServiceName.of("other");

		private static final int ADDED_ROUTES = 350;

		private Names() {
		}

	}

}
