package sycamorehill.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.WarmUp;
import sycamorehill.model.serving.WeightedService;
import sycamorehill.model.serving.Workspace;

/**
 * Decodes the operator's configuration object.
 */
final class ConfigurationDecoder {

	/** Priority of a workspace whose entry specifies none; 0 is the most urgent. */
	private static final int DEFAULT_PRIORITY = 1;

	/** Maximum weight of a service, so that the weights of a route can be added up. */
	private static final int MAXIMUM_WEIGHT = 1_000_000;

	/** Maximum mean number of tokens; a larger one counts as this. */
	private static final int MAXIMUM_TOKENS = 1_000_000_000;

	private static final String HOMES = "allowed_regions";

	private static final String WARM_UP_SECONDS = "warmup_s";

	private static final String WARM_UP_RATE = "warmup_per_s";

	private ConfigurationDecoder() {
	}

	static Configuration decode(JsonNode spec) {
		List<Route> routes = new ArrayList<>();
		JsonFields.list(spec, "routes").forEach((route) -> routes.add(route(route)));
		Map<ServiceName, ServiceParameters> services = new HashMap<>();
		JsonFields.list(spec, "services").forEach((service) -> {
			ServiceParameters parameters = serviceParameters(service);
			services.put(parameters.name(), parameters);
		});
		JsonNode tenants = spec.path("tenants");
		return new Configuration(JsonFields.wholeNumber(spec, "version"), routes, services,
				callerLimits(spec.path("limits")), workspaces(tenants), tenants.isArray() && !tenants.isEmpty());
	}

	private static Route route(JsonNode route) {
		Optional<Duration> pauseTarget = route.path("target_gap_ms").isNumber()
				? Optional.of(JsonFields.milliseconds(route, "target_gap_ms")) : Optional.empty();
		return new Route(JsonFields.text(route, "name"), JsonFields.text(route, "host").toLowerCase(Locale.ROOT),
				JsonFields.text(route, "path_prefix"), requestKind(route), JsonFields.milliseconds(route, "timeout_ms"),
				JsonFields.milliseconds(route, "target_latency_ms"), pauseTarget,
				JsonFields.count(route, "priority", 0), weightedServices(route),
				JsonFields.count(route, "max_attempts", 0), JsonFields.flag(route, "public"), homes(route));
	}

	// A missing list allows all regions.
	private static Set<RegionName> homes(JsonNode owner) {
		Set<RegionName> homes = new HashSet<>();
		if (owner.hasNonNull(HOMES)) {
			for (JsonNode region : JsonFields.list(owner, HOMES)) {
				if (!region.isTextual()) {
					throw new IllegalArgumentException(
							"field '" + HOMES + "' must hold texts, not " + JsonFields.abbreviated(region.toString()));
				}
				homes.add(RegionName.of(region.textValue()));
			}
		}
		return homes;
	}

	private static RequestKind requestKind(JsonNode route) {
		String kind = JsonFields.text(route, "kind");
		return switch (kind) {
			case "idempotent" -> RequestKind.IDEMPOTENT;
			case "non_idempotent" -> RequestKind.NON_IDEMPOTENT;
			case "streaming" -> JsonFields.flag(route, "resumable") ? RequestKind.RESUMABLE_STREAM : RequestKind.STREAM;
			default -> throw new IllegalArgumentException(
					"field 'kind' has the unknown value '" + JsonFields.abbreviated(kind) + "'");
		};
	}

	// A route specifies either one service or several services with weights.
	private static List<WeightedService> weightedServices(JsonNode route) {
		JsonNode backends = route.path("backends");
		if (!backends.isArray() || backends.isEmpty()) {
			return List.of(new WeightedService(ServiceName.of(JsonFields.text(route, "service")), 1));
		}
		List<WeightedService> services = new ArrayList<>();
		backends
			.forEach((backend) -> services.add(new WeightedService(ServiceName.of(JsonFields.text(backend, "service")),
					(int) JsonFields.wholeNumber(backend, "weight", 0, MAXIMUM_WEIGHT))));
		return services;
	}

	private static ServiceParameters serviceParameters(JsonNode service) {
		JsonNode engine = service.path("engine");
		Optional<EngineParameters> engineParameters = (engine.isObject() && engine.path("models").isArray()
				&& !engine.path("models").isEmpty()) ? Optional.of(engineParameters(engine)) : Optional.empty();
		return new ServiceParameters(ServiceName.of(JsonFields.text(service, "name")),
				JsonFields.count(service, "max_connections", 0), engineParameters, warmUp(service));
	}

	// A rate of 0 stands for targets that are never cold, as no request could ever be
	// sent to one that is.
	private static Optional<WarmUp> warmUp(JsonNode service) {
		if (!service.hasNonNull(WARM_UP_SECONDS) || !service.hasNonNull(WARM_UP_RATE)) {
			return Optional.empty();
		}
		Duration time = JsonFields.seconds(service, WARM_UP_SECONDS);
		double requestsPerSecond = JsonFields.nonNegative(service, WARM_UP_RATE);
		return (time.isZero() || requestsPerSecond == 0) ? Optional.empty()
				: Optional.of(new WarmUp(time, requestsPerSecond));
	}

	private static EngineParameters engineParameters(JsonNode engine) {
		List<ModelParameters> models = new ArrayList<>();
		engine.path("models")
			.forEach((model) -> models
				.add(new ModelParameters(JsonFields.text(model, "name"), JsonFields.count(model, "size", 1),
						JsonFields.nonNegative(model, "share"), JsonFields.nonNegative(model, "pace"),
						JsonFields.seconds(model, "load_s"), JsonFields.seconds(model, "warm_s"))));
		JsonNode means = engine.path("usual");
		return new EngineParameters(JsonFields.count(engine, "batch_slots", 1),
				JsonFields.wholeNumber(engine, "kv_capacity"), models, JsonFields.count(engine, "stride", 0),
				JsonFields.milliseconds(engine, "step_ms"), JsonFields.milliseconds(engine, "per_seq_ms"),
				JsonFields.nonNegative(engine, "read_per_s"), JsonFields.nonNegative(engine, "loads_per_s"),
				JsonFields.count(engine, "loads_at_once", 0), JsonFields.milliseconds(engine, "form_ms"),
				meanTokens(means, "prompt"), meanTokens(means, "answer"));
	}

	private static int meanTokens(JsonNode means, String field) {
		return (int) Math.min(JsonFields.nonNegative(means, field), MAXIMUM_TOKENS);
	}

	private static CallerLimits callerLimits(JsonNode limits) {
		return new CallerLimits(JsonFields.count(limits, "max_header_bytes", 0),
				JsonFields.count(limits, "max_body_bytes", 0), JsonFields.milliseconds(limits, "header_timeout_ms"),
				JsonFields.milliseconds(limits, "idle_timeout_ms"));
	}

	private static Map<String, Workspace> workspaces(JsonNode tenants) {
		Map<String, Workspace> workspaces = new HashMap<>();
		tenants.forEach((tenant) -> {
			int priority = tenant.path("priority").isIntegralNumber() ? JsonFields.count(tenant, "priority", 0)
					: DEFAULT_PRIORITY;
			Workspace workspace = new Workspace(WorkspaceName.of(JsonFields.text(tenant, "name")), priority,
					homes(tenant));
			JsonFields.list(tenant, "api_keys")
				.forEach((apiKey) -> workspaces.put(JsonFields.elementText(apiKey, "api_keys"), workspace));
		});
		return workspaces;
	}

}
