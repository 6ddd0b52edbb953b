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
 * Serves the operators' HTTP interface of a node.
 */
public final class OperatorServer implements AutoCloseable {

	private static final String TICKETS_PATH = "/operator/tickets";

	private static final String STATE_PATH = "/operator/state";

	private static final int MAXIMUM_TICKET_BYTES = 1024 * 1024;

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(15);

	private final PendingOperatorCalls calls;

	private final NodeReader nodeReader;

	private final EventSink events;

	private final ObjectMapper json;

	private HttpServerContext server;

	private OperatorServer(PendingOperatorCalls calls, NodeReader nodeReader, EventSink events, ObjectMapper json) {
		this.calls = calls;
		this.nodeReader = nodeReader;
		this.events = events;
		this.json = json;
	}

	/**
	 * Creates the server; {@link #listen} starts it.
	 * @param calls tracks the calls that wait for an answer
	 * @param nodeReader reads the node's state and metrics
	 * @param events receives the filed tickets and the queries for their rollout
	 * @param json reads and writes the bodies
	 * @return the server
	 */
	public static OperatorServer create(PendingOperatorCalls calls, NodeReader nodeReader, EventSink events,
			ObjectMapper json) {
		return new OperatorServer(calls, nodeReader, events, json);
	}

	/**
	 * Starts the server.
	 * @param address the address to listen on
	 * @return the address on which the server listens, with the actual port
	 * @throws Exception if the server can't listen on the address
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
		return BodyReader.readText(request.payloadBody(), MAXIMUM_TICKET_BYTES)
			.flatMap((body) -> Single.fromStage(route(request, body)))
			.onErrorReturn(
					(failure) -> OperatorAnswer.error(OperatorAnswer.BAD_REQUEST, String.valueOf(failure.getMessage())))
			.map((answer) -> toResponse(factory, answer));
	}

	private CompletionStage<OperatorAnswer> route(StreamingHttpRequest request, String body) {
		String path = request.path();
		if (path.equals(TICKETS_PATH) && request.method().equals(HttpRequestMethod.POST)) {
			return fileTicket(body);
		}
		if (path.equals(TICKETS_PATH)) {
			return completed(OperatorAnswer.of(OperatorAnswer.OK, this.nodeReader.tickets()));
		}
		if (path.startsWith(TICKETS_PATH + "/")) {
			return rolloutAnswer(path.substring(TICKETS_PATH.length() + 1));
		}
		if (path.equals(STATE_PATH)) {
			return completed(stateAnswer(request.queryParameter("at")));
		}
		return completed(readAnswer(path));
	}

	private OperatorAnswer readAnswer(String path) {
		return switch (path) {
			case "/operator/dump" -> OperatorAnswer.of(OperatorAnswer.OK, this.nodeReader.dump());
			case "/metrics" -> OperatorAnswer.of(OperatorAnswer.OK, this.nodeReader.metrics());
			default -> OperatorAnswer.error(OperatorAnswer.NOT_FOUND,
					"operators use /operator/tickets, /operator/state, /operator/dump and /metrics");
		};
	}

	private OperatorAnswer stateAnswer(String at) {
		if (at == null) {
			return this.nodeReader.desiredState()
				.map(OperatorServer::stateAnswer)
				.orElseGet(() -> OperatorAnswer.error(OperatorAnswer.SERVICE_UNAVAILABLE,
						"the node has no state yet: neither the platform nor a peer has given it one"));
		}
		try {
			return this.nodeReader.desiredStateAfter(Long.parseLong(at))
				.map(OperatorServer::stateAnswer)
				.orElseGet(() -> OperatorAnswer.error(OperatorAnswer.NOT_FOUND,
						"the node does not keep the state after ticket " + at));
		}
		catch (NumberFormatException ex) {
			return OperatorAnswer.error(OperatorAnswer.BAD_REQUEST, "'at' must be a ticket's number, not '" + at + "'");
		}
	}

	private static OperatorAnswer stateAnswer(DesiredState desiredState) {
		return OperatorAnswer.of(OperatorAnswer.OK, StateBody.of(desiredState));
	}

	private CompletionStage<OperatorAnswer> fileTicket(String body) {
		TicketDraft draft;
		try {
			draft = this.json.readValue(body, TicketDraft.class);
		}
		catch (JsonProcessingException ex) {
			return completed(
					OperatorAnswer.error(OperatorAnswer.BAD_REQUEST, "the ticket can't be read: " + describe(ex)));
		}
		if (draft == null || draft.filing() == null) {
			return completed(OperatorAnswer.error(OperatorAnswer.BAD_REQUEST,
					"the ticket needs 'filing', an identifier of your own"));
		}
		OperatorCallIdentifier call = this.calls.nextIdentifier();
		CompletableFuture<FilingOutcome> outcome = this.calls.awaitFiling(call);
		this.events.post(new OperatorEvent.TicketFiled(call, draft));
		FilingOutcome unknown = new FilingOutcome.NotKnown("no decision within " + ANSWER_TIMEOUT.toSeconds() + " s");
		return outcome.completeOnTimeout(unknown, ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.whenComplete((result, failure) -> this.calls.remove(call))
			.thenApply(OperatorServer::filingAnswer);
	}

	private static OperatorAnswer filingAnswer(FilingOutcome outcome) {
		if (outcome instanceof FilingOutcome.Accepted) {
			return OperatorAnswer.of(OperatorAnswer.CREATED, outcome);
		}
		int status = (outcome instanceof FilingOutcome.Refused) ? OperatorAnswer.CONFLICT
				: OperatorAnswer.GATEWAY_TIMEOUT;
		return OperatorAnswer.of(status, outcome);
	}

	private CompletionStage<OperatorAnswer> rolloutAnswer(String text) {
		long number;
		try {
			number = Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			return completed(OperatorAnswer.error(OperatorAnswer.BAD_REQUEST,
					"a ticket's number is expected, not '" + text + "'"));
		}
		OperatorCallIdentifier call = this.calls.nextIdentifier();
		CompletableFuture<TicketRollout> rollout = this.calls.awaitRollout(call);
		this.events.post(new OperatorEvent.TicketForceAsked(call, number));
		return rollout.orTimeout(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.whenComplete((result, failure) -> this.calls.remove(call))
			.handle((result, failure) -> (failure != null)
					? OperatorAnswer.error(OperatorAnswer.GATEWAY_TIMEOUT, "the node did not answer in time")
					: OperatorAnswer.of(OperatorAnswer.OK, result));
	}

	private StreamingHttpResponse toResponse(StreamingHttpResponseFactory factory, OperatorAnswer answer) {
		String text;
		try {
			text = this.json.writeValueAsString(answer.body());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the answer to an operator can't be written as JSON", ex);
		}
		return factory.newResponse(HttpResponseStatus.of(answer.status(), ""))
			.setHeader("Content-Type", "application/json")
			.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(text)));
	}

	private static String describe(JsonProcessingException failure) {
		if (failure instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()) {
			return mapping.getPathReference() + ": " + mapping.getOriginalMessage();
		}
		return failure.getOriginalMessage();
	}

	private static CompletionStage<OperatorAnswer> completed(OperatorAnswer answer) {
		return CompletableFuture.completedFuture(answer);
	}

	@Override
	public void close() throws Exception {
		if (this.server != null) {
			this.server.close();
		}
	}

}
