package sycamorehill.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpServers;

import sycamorehill.engine.EngineClient;
import sycamorehill.engine.PlainServiceClient;
import sycamorehill.http.BodyReader;
import sycamorehill.http.BodyTooLargeException;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;
import sycamorehill.runtime.EventSink;
import sycamorehill.runtime.RequestPort;

/**
 * The callers' HTTP server of a node.
 */
public final class CallerGateway implements AutoCloseable {

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final String ORDER_NUMBERS_PATH = "/v1/order-numbers";

	private static final int MOST_BODY_BYTES = 1024 * 1024;

	private static final Duration BODY_TIMEOUT = Duration.ofSeconds(30);

	/**
	 * How long a stop waits for callers to take answers that are ready. One that never
	 * reads must not keep the process.
	 */
	private static final Duration MAXIMUM_WAIT_FOR_CALLERS = Duration.ofSeconds(5);

	private static final String NO_REQUEST = "";

	private final ExchangeTable exchanges = ExchangeTable.create();

	private final CallerRequestReader reader;

	private final ResponseWriter writer;

	private final EngineClient engines;

	private final PlainServiceClient services;

	private final EventSink events;

	private final InstantSource wallClock;

	private final BooleanSupplier ready;

	private final PendingWrites pendingWrites = PendingWrites.create();

	private HttpServerContext server;

	private CallerGateway(NodeIncarnation self, InstantSource clock, InstantSource wallClock, ObjectMapper json,
			EngineClient engines, PlainServiceClient services, EventSink events, BooleanSupplier ready) {
		this.reader = CallerRequestReader.create(self, clock, json);
		this.writer = ResponseWriter.create(json);
		this.engines = engines;
		this.services = services;
		this.events = events;
		this.wallClock = wallClock;
		this.ready = ready;
	}

	/**
	 * Creates the gateway; {@link #listen} opens it to callers.
	 * @param self the node's life
	 * @param clock monotonic time, for deadlines
	 * @param wallClock wall clock, for the callers' reading only
	 * @param json reads and writes bodies
	 * @param engines sends completions
	 * @param services sends calls to plain services
	 * @param events where requests go for decision
	 * @param ready whether the balancer may send new callers
	 * @param metrics where the gateway counts
	 * @return the gateway
	 */
	public static CallerGateway create(NodeIncarnation self, InstantSource clock, InstantSource wallClock,
			ObjectMapper json, EngineClient engines, PlainServiceClient services, EventSink events,
			BooleanSupplier ready, MetricRegistry metrics) {
		CallerGateway gateway = new CallerGateway(self, clock, wallClock, json, engines, services, events, ready);
		metrics.register("gateway.open-requests", (Gauge<Integer>) gateway.exchanges::size);
		return gateway;
	}

	/**
	 * What carries out effects on requests.
	 * @return the port
	 */
	public RequestPort requests() {
		return this.exchanges;
	}

	/**
	 * Opens the server.
	 * @param address where to listen
	 * @return the address it listens on
	 * @throws Exception if the address can't be had
	 */
	public Address listen(InetSocketAddress address) throws Exception {
		this.server = HttpServers.forAddress(address)
			.executionStrategy(HttpExecutionStrategies.offloadNone())
			.transportObserver(this.pendingWrites)
			.listenStreamingAndAwait(this::handle);
		InetSocketAddress bound = (InetSocketAddress) this.server.listenAddress();
		return Address.of(bound.getAddress().getHostAddress(), bound.getPort());
	}

	private Single<StreamingHttpResponse> handle(HttpServiceContext context, StreamingHttpRequest request,
			StreamingHttpResponseFactory factory) {
		String path = request.path();
		if (path.equals(CHAT_PATH) || path.startsWith(CallerRequestReader.SERVICES_PREFIX)) {
			return BodyReader.readText(request.payloadBody(), MOST_BODY_BYTES)
				.timeout(BODY_TIMEOUT)
				.flatMap((body) -> call(request, body, factory))
				.onErrorResume((failure) -> Single.succeeded(refusal(failure, factory)));
		}
		if (path.equals(ORDER_NUMBERS_PATH)) {
			return Single.succeeded(this.writer.whole(factory, SuccessStatus.OK, "application/json",
					this.reader.orderNumberBody(), OutcomeName.COMPLETED, NO_REQUEST));
		}
		return Single.succeeded(health(path, factory));
	}

	private Single<StreamingHttpResponse> call(StreamingHttpRequest head, String body,
			StreamingHttpResponseFactory factory) {
		if (this.exchanges.full()) {
			Problem full = new Problem(ProblemStatus.UNAVAILABLE, OutcomeName.NOT_RUN, "overloaded",
					"the node holds as many requests as it can", Optional.of(Duration.ofSeconds(1)));
			return Single.succeeded(this.writer.problem(factory, full, NO_REQUEST));
		}
		ResponseSlot slot = ResponseSlot.create();
		RequestIdentifier identifier;
		if (head.path().equals(CHAT_PATH)) {
			identifier = chat(this.reader.chat(head, body), factory, slot);
		}
		else {
			identifier = plain(this.reader.plain(head, body), factory, slot);
		}
		return slot.single().beforeCancel(() -> this.events.post(new RequestEvent.CallerGone(identifier)));
	}

	private RequestIdentifier chat(CallerCall call, StreamingHttpResponseFactory factory, ResponseSlot slot) {
		long created = this.wallClock.instant().getEpochSecond();
		return open(call, ChatExchange.create(call, this.engines, this.events, factory, this.writer, created, slot));
	}

	private RequestIdentifier plain(CallerCall call, StreamingHttpResponseFactory factory, ResponseSlot slot) {
		return open(call, PlainExchange.create(call, this.services, this.events, factory, this.writer, slot));
	}

	private RequestIdentifier open(CallerCall call, Exchange exchange) {
		RequestIdentifier identifier = call.description().identifier();
		this.exchanges.open(identifier, exchange);
		this.events.post(new RequestEvent.Arrived(call.description()));
		return identifier;
	}

	private StreamingHttpResponse refusal(Throwable failure, StreamingHttpResponseFactory factory) {
		if (failure instanceof BadRequestException) {
			return problem(factory, ProblemStatus.BAD_REQUEST, "bad-request", failure.getMessage());
		}
		if (failure instanceof BodyTooLargeException) {
			return problem(factory, ProblemStatus.CONTENT_TOO_LARGE, "body-too-large", failure.getMessage());
		}
		if (failure instanceof TimeoutException) {
			return problem(factory, ProblemStatus.REQUEST_TIMEOUT, "body-too-slow",
					"the body did not arrive within " + BODY_TIMEOUT.toSeconds() + " seconds");
		}
		return problem(factory, ProblemStatus.BAD_REQUEST, "bad-request", String.valueOf(failure.getMessage()));
	}

	private StreamingHttpResponse health(String path, StreamingHttpResponseFactory factory) {
		if (path.equals("/health/live")) {
			return this.writer.whole(factory, SuccessStatus.OK, "text/plain", "live\n", OutcomeName.COMPLETED,
					NO_REQUEST);
		}
		if (path.equals("/health/ready")) {
			return this.ready.getAsBoolean()
					? this.writer.whole(factory, SuccessStatus.OK, "text/plain", "ready\n", OutcomeName.COMPLETED,
							NO_REQUEST)
					: problem(factory, ProblemStatus.UNAVAILABLE, "node-not-ready", "the node takes no new callers");
		}
		return problem(factory, ProblemStatus.NOT_FOUND, "unknown-path",
				"callers use " + CHAT_PATH + " and " + CallerRequestReader.SERVICES_PREFIX + "NAME/PATH");
	}

	private StreamingHttpResponse problem(StreamingHttpResponseFactory factory, int status, String reason,
			String detail) {
		return this.writer.problem(factory, Problem.notRun(status, reason, detail), NO_REQUEST);
	}

	@Override
	public void close() throws Exception {
		if (this.server == null) {
			return;
		}
		if (!this.pendingWrites.await(MAXIMUM_WAIT_FOR_CALLERS)) {
			EventLog.write(LogLine.of(LogEvent.ANSWERS_NOT_TAKEN, "parts=" + this.pendingWrites.count()));
		}
		this.server.close();
	}

}
