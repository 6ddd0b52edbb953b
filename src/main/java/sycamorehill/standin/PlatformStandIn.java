package sycamorehill.standin;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.http.api.HttpRequest;

import sycamorehill.model.identity.Address;

/**
 * The platform on one port: object API, VM list, weight store, count of calls and the
 * switches of all faults.
 */
public final class PlatformStandIn implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

	private final PlatformFaults faults = new PlatformFaults();

	private final Map<String, Integer> calls = new TreeMap<>();

	private final ScheduledExecutorService clock;

	private final ObjectApi objects;

	private final Function<Optional<String>, String> vmList;

	private final EngineFleet.WeightStore weightStore;

	private final Predicate<FaultOrder> otherFaults;

	private final StandInServer server;

	private PlatformStandIn(StandInSettings settings, ScheduledExecutorService clock,
			Function<Optional<String>, String> vmList, EngineFleet.WeightStore weightStore,
			Predicate<FaultOrder> otherFaults) {
		this.clock = clock;
		this.objects = ObjectApi.create(clock);
		this.vmList = vmList;
		this.weightStore = weightStore;
		this.otherFaults = otherFaults;
		this.server = StandInServer.open(settings.host(), settings.platformPort(), this::handle);
	}

	static PlatformStandIn start(StandInSettings settings, ScheduledExecutorService clock,
			Function<Optional<String>, String> vmList, EngineFleet.WeightStore weightStore,
			Predicate<FaultOrder> otherFaults) {
		return new PlatformStandIn(settings, clock, vmList, weightStore, otherFaults);
	}

	/**
	 * Where the platform listens.
	 * @return the address
	 */
	public Address address() {
		return this.server.address();
	}

	/**
	 * The calls by kind.
	 * @return method and kind of object with the count
	 */
	public synchronized Map<String, Integer> calls() {
		return Map.copyOf(this.calls);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private CompletionStage<Reply> handle(HttpRequest request) {
		String path = request.path();
		if (path.equals("/faults")) {
			return CompletableFuture.completedFuture(fault(request));
		}
		if (path.equals("/v1/calls")) {
			return CompletableFuture.completedFuture(Reply.json(200, json(calls())));
		}
		count(request.method().name(), path);
		return this.faults.next().map((hit) -> hit(hit, request)).orElseGet(() -> serve(request));
	}

	private CompletionStage<Reply> hit(PlatformFaults.Hit hit, HttpRequest request) {
		return switch (hit.fault()) {
			case "outage" -> CompletableFuture.completedFuture(Reply.empty(503));
			case "throttle" -> CompletableFuture.completedFuture(Reply.empty(429).with("Retry-After", "1"));
			case "lose-answers" -> serve(request).thenApply((reply) -> Reply.lost());
			default -> {
				CompletableFuture<Reply> late = new CompletableFuture<>();
				this.clock.schedule(() -> serve(request).thenAccept(late::complete), hit.delay().toMillis(),
						TimeUnit.MILLISECONDS);
				yield late;
			}
		};
	}

	private CompletionStage<Reply> serve(HttpRequest request) {
		String path = request.path();
		if (ObjectApi.takes(path)) {
			return this.objects.handle(request);
		}
		return CompletableFuture.completedFuture(serveLists(path, request));
	}

	private Reply serveLists(String path, HttpRequest request) {
		return switch (path) {
			case "/v1/vms" ->
				Reply.json(200, this.vmList.apply(Optional.ofNullable(request.queryParameter("dataCentre"))));
			case "/v1/weights" -> Reply.json(200, this.weightStore.toJson());
			default -> Reply.empty(404);
		};
	}

	private synchronized void count(String method, String path) {
		String[] elements = path.split("/");
		String operation = (elements.length > 2 && elements[2].equals("watch")) ? "WATCH" : method;
		String kind = (elements.length > 3) ? elements[3] : path;
		this.calls.merge(operation + " " + kind, 1, Integer::sum);
	}

	private Reply fault(HttpRequest request) {
		try {
			FaultOrder order = JSON.readValue(request.payloadBody().toString(StandardCharsets.UTF_8), FaultOrder.class);
			boolean known = order.target().equals("platform") ? this.faults.fault(order) : this.otherFaults.test(order);
			return known ? Reply.empty(200) : Reply.json(404, "{\"reason\": \"unknown target or fault\"}");
		}
		catch (JsonProcessingException ex) {
			return Reply.json(400, "{\"reason\": \"malformed\"}");
		}
	}

	private static String json(Object value) {
		try {
			return JSON.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("can't be written as JSON", ex);
		}
	}

}
