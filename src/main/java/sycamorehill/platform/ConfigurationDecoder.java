package sycamorehill.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

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
 * Reads the operator's configuration object.
 */
final class ConfigurationDecoder {

	/** Rank of a workspace whose entry names none. */
	private static final int USUAL_PRIORITY = 1;

	private ConfigurationDecoder() {
	}

	static Configuration decode(JsonNode spec) {
		List<Route> routes = new ArrayList<>();
		JsonFields.list(spec, "routes").forEach((route) -> routes.add(route(route)));
		Map<ServiceName, ServiceParameters> services = new HashMap<>();
		JsonFields.list(spec, "services").forEach((service) -> {
			ServiceParameters figures = service(service);
			services.put(figures.name(), figures);
		});
		JsonNode tenants = spec.path("tenants");
		return new Configuration(JsonFields.whole(spec, "version"), routes, services, limits(spec.path("limits")),
				workspaces(tenants), tenants.isArray() && !tenants.isEmpty());
	}

	private static Route route(JsonNode route) {
		Optional<Duration> pause = route.path("target_gap_ms").isNumber()
				? Optional.of(JsonFields.millis(route, "target_gap_ms")) : Optional.empty();
		return new Route(JsonFields.text(route, "name"), JsonFields.text(route, "host").toLowerCase(Locale.ROOT),
				JsonFields.text(route, "path_prefix"), kind(route), JsonFields.millis(route, "timeout_ms"),
				JsonFields.millis(route, "target_latency_ms"), pause, (int) JsonFields.whole(route, "priority"),
				weighted(route), (int) JsonFields.whole(route, "max_attempts"), JsonFields.flag(route, "public"));
	}

	private static RequestKind kind(JsonNode route) {
		String kind = JsonFields.text(route, "kind");
		return switch (kind) {
			case "idempotent" -> RequestKind.IDEMPOTENT;
			case "non_idempotent" -> RequestKind.NON_IDEMPOTENT;
			case "streaming" -> JsonFields.flag(route, "resumable") ? RequestKind.RESUMABLE_STREAM : RequestKind.STREAM;
			default -> throw new IllegalArgumentException("field 'kind' has the unknown value '" + kind + "'");
		};
	}

	// A route names one service, or several with weights.
	private static List<WeightedService> weighted(JsonNode route) {
		JsonNode several = route.path("backends");
		if (!several.isArray() || several.isEmpty()) {
			return List.of(new WeightedService(ServiceName.of(JsonFields.text(route, "service")), 1));
		}
		List<WeightedService> services = new ArrayList<>();
		several.forEach((each) -> services.add(new WeightedService(ServiceName.of(JsonFields.text(each, "service")),
				(int) JsonFields.whole(each, "weight"))));
		return services;
	}

	private static ServiceParameters service(JsonNode service) {
		JsonNode engine = service.path("engine");
		Optional<EngineParameters> engines = (engine.isObject() && engine.path("models").isArray()
				&& !engine.path("models").isEmpty()) ? Optional.of(engines(engine)) : Optional.empty();
		return new ServiceParameters(ServiceName.of(JsonFields.text(service, "name")),
				(int) JsonFields.whole(service, "max_connections"), engines);
	}

	private static EngineParameters engines(JsonNode engine) {
		List<ModelParameters> models = new ArrayList<>();
		engine.path("models")
			.forEach((model) -> models
				.add(new ModelParameters(JsonFields.text(model, "name"), (int) JsonFields.whole(model, "size"),
						JsonFields.number(model, "share"), JsonFields.number(model, "pace"),
						JsonFields.seconds(model, "load_s"), JsonFields.seconds(model, "warm_s"))));
		JsonNode usual = engine.path("usual");
		return new EngineParameters((int) JsonFields.whole(engine, "batch_slots"),
				JsonFields.whole(engine, "kv_capacity"), models, (int) JsonFields.whole(engine, "stride"),
				JsonFields.millis(engine, "step_ms"), JsonFields.millis(engine, "per_seq_ms"),
				JsonFields.number(engine, "read_per_s"), JsonFields.number(engine, "loads_per_s"),
				(int) JsonFields.whole(engine, "loads_at_once"), JsonFields.millis(engine, "form_ms"),
				(int) JsonFields.number(usual, "prompt"), (int) JsonFields.number(usual, "answer"));
	}

	private static CallerLimits limits(JsonNode limits) {
		return new CallerLimits((int) JsonFields.whole(limits, "max_header_bytes"),
				(int) JsonFields.whole(limits, "max_body_bytes"), JsonFields.millis(limits, "header_timeout_ms"),
				JsonFields.millis(limits, "idle_timeout_ms"));
	}

	private static Map<String, Workspace> workspaces(JsonNode tenants) {
		Map<String, Workspace> workspaces = new HashMap<>();
		tenants.forEach((tenant) -> {
			int priority = tenant.path("priority").isIntegralNumber() ? tenant.path("priority").intValue()
					: USUAL_PRIORITY;
			Workspace workspace = new Workspace(WorkspaceName.of(JsonFields.text(tenant, "name")), priority);
			JsonFields.list(tenant, "api_keys").forEach((key) -> workspaces.put(key.asText(), workspace));
		});
		return workspaces;
	}

}
