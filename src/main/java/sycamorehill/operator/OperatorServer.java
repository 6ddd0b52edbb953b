package sycamorehill.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpServers;

import sycamorehill.http.BodyReader;
import sycamorehill.model.event.OperatorEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.TicketRollout;
import sycamorehill.runtime.EventSink;

/**
 * The operators' HTTP server of a node.
 */
public final class OperatorServer implements AutoCloseable {

	private static final String TICKETS = "/operator/tickets";

	private static final String STATE = "/operator/state";

	private static final int MOST_TICKET_BYTES = 1024 * 1024;

	private static final Duration PATIENCE = Duration.ofSeconds(15);

	private final OperatorCalls calls;

	private final NodeReader node;

	private final EventSink events;

	private final ObjectMapper json;

	private HttpServerContext server;

	private OperatorServer(OperatorCalls calls, NodeReader node, EventSink events, ObjectMapper json) {
		this.calls = calls;
		this.node = node;
		this.events = events;
		this.json = json;
	}

	/**
	 * Creates the server; {@link #listen} opens it.
	 * @param calls operators that wait
	 * @param node what operators read
	 * @param events where tickets go for decision
	 * @param json reads and writes bodies
	 * @return the server
	 */
	public static OperatorServer create(OperatorCalls calls, NodeReader node, EventSink events, ObjectMapper json) {
		return new OperatorServer(calls, node, events, json);
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
			.listenStreamingAndAwait(this::handle);
		InetSocketAddress bound = (InetSocketAddress) this.server.listenAddress();
		return Address.of(bound.getAddress().getHostAddress(), bound.getPort());
	}

	private Single<StreamingHttpResponse> handle(HttpServiceContext context, StreamingHttpRequest request,
			StreamingHttpResponseFactory factory) {
		return BodyReader.readText(request.payloadBody(), MOST_TICKET_BYTES)
			.flatMap((body) -> Single.fromStage(answer(request, body)))
			.onErrorReturn(
					(failure) -> OperatorAnswer.fault(OperatorAnswer.BAD_REQUEST, String.valueOf(failure.getMessage())))
			.map((answer) -> write(factory, answer));
	}

	private CompletionStage<OperatorAnswer> answer(StreamingHttpRequest request, String body) {
		String path = request.path();
		if (path.equals(TICKETS) && request.method().equals(HttpRequestMethod.POST)) {
			return file(body);
		}
		if (path.equals(TICKETS)) {
			return done(OperatorAnswer.of(OperatorAnswer.OK, this.node.tickets()));
		}
		if (path.startsWith(TICKETS + "/")) {
			return force(path.substring(TICKETS.length() + 1));
		}
		if (path.equals(STATE)) {
			return done(state(request.queryParameter("at")));
		}
		return done(read(path));
	}

	private OperatorAnswer read(String path) {
		return switch (path) {
			case "/operator/dump" -> OperatorAnswer.of(OperatorAnswer.OK, this.node.dump());
			case "/metrics" -> OperatorAnswer.of(OperatorAnswer.OK, this.node.metrics());
			default -> OperatorAnswer.fault(OperatorAnswer.NOT_FOUND,
					"operators use /operator/tickets, /operator/state, /operator/dump and /metrics");
		};
	}

	private OperatorAnswer state(String at) {
		if (at == null) {
			return this.node.truth()
				.map(OperatorServer::state)
				.orElseGet(() -> OperatorAnswer.fault(OperatorAnswer.UNAVAILABLE,
						"the node has no state yet: neither the platform nor a peer has given it one"));
		}
		try {
			return this.node.truthAfter(Long.parseLong(at))
				.map(OperatorServer::state)
				.orElseGet(() -> OperatorAnswer.fault(OperatorAnswer.NOT_FOUND,
						"the node does not keep the state after ticket " + at));
		}
		catch (NumberFormatException ex) {
			return OperatorAnswer.fault(OperatorAnswer.BAD_REQUEST, "'at' must be a ticket's number, not '" + at + "'");
		}
	}

	private static OperatorAnswer state(DesiredState truth) {
		return OperatorAnswer.of(OperatorAnswer.OK, StateBody.of(truth));
	}

	private CompletionStage<OperatorAnswer> file(String body) {
		TicketDraft draft;
		try {
			draft = this.json.readValue(body, TicketDraft.class);
		}
		catch (JsonProcessingException ex) {
			return done(
					OperatorAnswer.fault(OperatorAnswer.BAD_REQUEST, "the ticket can't be read: " + unreadable(ex)));
		}
		if (draft == null || draft.filing() == null) {
			return done(OperatorAnswer.fault(OperatorAnswer.BAD_REQUEST,
					"the ticket needs 'filing', an identifier of your own"));
		}
		OperatorCallIdentifier call = this.calls.nextIdentifier();
		CompletableFuture<FilingOutcome> outcome = this.calls.awaitFiling(call);
		this.events.post(new OperatorEvent.TicketFiled(call, draft));
		FilingOutcome late = new FilingOutcome.NotKnown("no decision within " + PATIENCE.toSeconds() + " s");
		return outcome.completeOnTimeout(late, PATIENCE.toMillis(), TimeUnit.MILLISECONDS)
			.whenComplete((found, failure) -> this.calls.forget(call))
			.thenApply(OperatorServer::filed);
	}

	private static OperatorAnswer filed(FilingOutcome outcome) {
		if (outcome instanceof FilingOutcome.Accepted) {
			return OperatorAnswer.of(OperatorAnswer.CREATED, outcome);
		}
		int status = (outcome instanceof FilingOutcome.Refused) ? OperatorAnswer.CONFLICT : OperatorAnswer.NOT_KNOWN;
		return OperatorAnswer.of(status, outcome);
	}

	private CompletionStage<OperatorAnswer> force(String text) {
		long number;
		try {
			number = Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			return done(OperatorAnswer.fault(OperatorAnswer.BAD_REQUEST,
					"a ticket's number is expected, not '" + text + "'"));
		}
		OperatorCallIdentifier call = this.calls.nextIdentifier();
		CompletableFuture<TicketRollout> force = this.calls.awaitForce(call);
		this.events.post(new OperatorEvent.TicketForceAsked(call, number));
		return force.orTimeout(PATIENCE.toMillis(), TimeUnit.MILLISECONDS)
			.whenComplete((found, failure) -> this.calls.forget(call))
			.handle((found, failure) -> (failure != null)
					? OperatorAnswer.fault(OperatorAnswer.NOT_KNOWN, "the node did not answer in time")
					: OperatorAnswer.of(OperatorAnswer.OK, found));
	}

	private StreamingHttpResponse write(StreamingHttpResponseFactory factory, OperatorAnswer answer) {
		String text;
		try {
			text = this.json.writeValueAsString(answer.body());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("an answer of ours can't be written", ex);
		}
		return factory.newResponse(HttpResponseStatus.of(answer.status(), ""))
			.setHeader("Content-Type", "application/json")
			.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(text)));
	}

	private static String unreadable(JsonProcessingException failure) {
		if (failure instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()) {
			return mapping.getPathReference() + ": " + mapping.getOriginalMessage();
		}
		return failure.getOriginalMessage();
	}

	private static CompletionStage<OperatorAnswer> done(OperatorAnswer answer) {
		return CompletableFuture.completedFuture(answer);
	}

	@Override
	public void close() throws Exception {
		if (this.server != null) {
			this.server.close();
		}
	}

}
