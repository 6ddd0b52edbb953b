package sycamorehill.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpCall;
import sycamorehill.http.HttpClientPool;
import sycamorehill.http.NotSentException;
import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.Address;

/**
 * Calls model engines over HTTP, as described in docs/WIRE.md.
 */
public final class HttpEngine implements EngineClient {

	private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

	private static final String JSON_TYPE = "application/json";

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int CONFLICT = 409;

	private final HttpClientPool pool;

	private final BufferedHttpClient client;

	private final ObjectMapper json;

	private HttpEngine(HttpClientPool pool, ObjectMapper json) {
		this.pool = pool;
		this.client = BufferedHttpClient.create(pool);
		this.json = json;
	}

	/**
	 * Creates a client of model engines.
	 * @param pool provides the HTTP client of each address
	 * @param json maps request and answer bodies
	 * @return the client
	 */
	public static HttpEngine create(HttpClientPool pool, ObjectMapper json) {
		return new HttpEngine(pool, json);
	}

	@Override
	public CompletableFuture<VmReport> readReport(Address address) {
		return this.client.call(HttpCall.of(address, "GET", "/engine/report", REPORT_TIMEOUT))
			.thenApply(this::parseReport);
	}

	@Override
	public CompletableFuture<EngineCommandResult> sendCommand(Address address, EngineCommand command) {
		HttpCall call = HttpCall.of(address, "POST", "/engine/orders", COMMAND_TIMEOUT)
			.withBody(serialize(EngineCommandBody.of(command)), JSON_TYPE);
		return this.client.call(call).thenApply(HttpEngine::commandResult).exceptionally(HttpEngine::commandFailure);
	}

	@Override
	public AttemptHandle complete(Address address, CompletionCall call, AttemptListener listener) {
		HttpCall httpCall = HttpCall.of(address, "POST", "/engine/completions", call.readTimeout())
			.withBody(serialize(CompletionBody.of(call)), JSON_TYPE)
			.withHeader(TargetHeaders.ATTEMPT, call.attempt().toString())
			.withHeader(TargetHeaders.GENERATION, Long.toString(call.generation()));
		CompletionStream stream = CompletionStream.start(this.pool.client(address), httpCall, this.json, listener);
		return () -> {
			stream.cancel();
			String attempt = URLEncoder.encode(call.attempt().toString(), StandardCharsets.UTF_8);
			this.client.call(HttpCall.of(address, "DELETE", "/engine/completions/" + attempt, CANCEL_TIMEOUT));
		};
	}

	private VmReport parseReport(HttpAnswer answer) {
		if (answer.status() != OK) {
			throw new IllegalStateException("the engine answered " + answer.status() + " to a report");
		}
		try {
			return this.json.readValue(answer.body(), VmReportBody.class).toReport();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private String serialize(Object body) {
		try {
			return this.json.writeValueAsString(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a request body can't be serialized", ex);
		}
	}

	private static EngineCommandResult commandResult(HttpAnswer answer) {
		if (answer.status() == ACCEPTED) {
			return EngineCommandResult.ACCEPTED;
		}
		if (answer.status() == CONFLICT) {
			return answer.body().contains("fenced") ? EngineCommandResult.REFUSED_FENCED : EngineCommandResult.REFUSED;
		}
		return EngineCommandResult.NOT_KNOWN;
	}

	private static EngineCommandResult commandFailure(Throwable failure) {
		return (failure.getCause() instanceof NotSentException) ? EngineCommandResult.REFUSED
				: EngineCommandResult.NOT_KNOWN;
	}

}
