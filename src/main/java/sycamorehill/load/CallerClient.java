package sycamorehill.load;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpResponse;

import sycamorehill.http.BodyReader;
import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpCall;
import sycamorehill.http.HttpClientPool;
import sycamorehill.model.identity.Address;

/**
 * A caller of the system, as its users' programs are.
 */
public final class CallerClient {

	private static final int OK = 200;

	private static final int FIRST_ERROR = 400;

	private static final int MOST_BYTES = 1024 * 1024;

	private final HttpClientPool pool;

	private final BufferedHttpClient caller;

	private final InstantSource clock;

	private final ObjectMapper json;

	private CallerClient(HttpClientPool pool, InstantSource clock, ObjectMapper json) {
		this.pool = pool;
		this.caller = BufferedHttpClient.create(pool);
		this.clock = clock;
		this.json = json;
	}

	/**
	 * Creates a client.
	 * @param pool the connections to use
	 * @param clock monotonic time
	 * @param json reads and writes bodies
	 * @return the client
	 */
	public static CallerClient create(HttpClientPool pool, InstantSource clock, ObjectMapper json) {
		return new CallerClient(pool, clock, json);
	}

	/**
	 * Asks for a streamed chat completion.
	 * @param node the callers' address of a node
	 * @param chat what is asked
	 * @param planned when the call was planned to start; times count from it
	 * @return the answer; never fails
	 */
	public CompletableFuture<CallResult> chat(Address node, ChatCall chat, Instant planned) {
		ChatReader reader = ChatReader.create(this.clock, this.json, planned);
		StreamingHttpClient client = this.pool.client(node);
		HttpCall call = HttpCall.of(node, "POST", "/v1/chat/completions", chat.timeout())
			.withBody(body(chat), "application/json")
			.withHeader("Authorization", "Bearer " + chat.key())
			.withHeader("Priority", chat.priority())
			.withHeader("Request-Timeout", Double.toString(chat.timeout().toMillis() / 1000.0));
		return client.request(BufferedHttpClient.request(client, call))
			.flatMap((response) -> read(response, reader).ignoreElements().toSingle().map((done) -> reader.result()))
			.timeout(chat.timeout().multipliedBy(2))
			.onErrorReturn((failure) -> reader.broken(String.valueOf(failure)))
			.toCompletionStage()
			.toCompletableFuture();
	}

	/**
	 * Makes a call to a plain service.
	 * @param node the callers' address of a node
	 * @param key the workspace's key
	 * @param path service, path and query
	 * @param idempotencyKey names the order, empty for none
	 * @param body the body
	 * @param timeout the longest wait
	 * @return the answer; never fails
	 */
	public CompletableFuture<CallResult> order(Address node, String key, String path, Optional<String> idempotencyKey,
			String body, Duration timeout) {
		HttpCall call = HttpCall.of(node, "POST", "/services/" + path, timeout)
			.withBody(body, "application/json")
			.withHeader("Authorization", "Bearer " + key);
		if (idempotencyKey.isPresent()) {
			call = call.withHeader("Idempotency-Key", idempotencyKey.get());
		}
		return this.caller.call(call)
			.thenApply(this::plainResult)
			.exceptionally((failure) -> new CallResult(CallOutcome.NO_ANSWER, 0, "", Optional.empty(), List.of(),
					String.valueOf(failure)));
	}

	private Publisher<Object> read(StreamingHttpResponse response, ChatReader reader) {
		reader.status(response.status().code());
		if (response.status().code() != OK) {
			return BodyReader.readText(response.payloadBody(), MOST_BYTES)
				.map((body) -> (Object) reader.problem(body))
				.toPublisher();
		}
		return response.payloadBody().map((buffer) -> (Object) reader.take(buffer));
	}

	private CallResult plainResult(HttpAnswer answer) {
		CallOutcome outcome = answer.header("Outcome")
			.map(CallerClient::outcome)
			.orElse((answer.status() < FIRST_ERROR) ? CallOutcome.COMPLETED : CallOutcome.FAILED);
		return new CallResult(outcome, answer.status(), answer.body(), Optional.empty(), List.of(),
				detail(answer.body()));
	}

	private String detail(String body) {
		try {
			JsonNode tree = this.json.readTree(body);
			return tree.path("reason").asText("");
		}
		catch (IOException ex) {
			return "";
		}
	}

	private String body(ChatCall chat) {
		try {
			return this.json.writeValueAsString(Map.of("model", chat.service(), "stream", true, "max_tokens",
					chat.maximumTokens(), "messages", List.of(Map.of("role", "user", "content", chat.content()))));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a body of ours can't be written", ex);
		}
	}

	static CallOutcome outcome(String word) {
		return switch (word) {
			case "completed" -> CallOutcome.COMPLETED;
			case "not-run" -> CallOutcome.NOT_RUN;
			case "unknown" -> CallOutcome.UNKNOWN;
			default -> CallOutcome.FAILED;
		};
	}

}
