package sycamorehill.objectapi;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpCall;
import sycamorehill.http.NotSentException;
import sycamorehill.model.identity.Address;
import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.platform.StoredObject;

/**
 * Calls the object API over HTTP, as specified in docs/WIRE.md.
 */
public final class HttpPlatformClient implements PlatformClient {

	private static final String CONTENT_TYPE = "application/json";

	private static final int OK = 200;

	private static final int NO_CONTENT = 204;

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_FAILED = 412;

	private static final int TOO_MANY_REQUESTS = 429;

	/** Time allowed for a watch beyond the time for which the platform may hold it. */
	private static final Duration WATCH_MARGIN = Duration.ofSeconds(2);

	private final BufferedHttpClient httpClient;

	private final Address address;

	private final ObjectMapper json;

	private HttpPlatformClient(BufferedHttpClient httpClient, Address address, ObjectMapper json) {
		this.httpClient = httpClient;
		this.address = address;
		this.json = json;
	}

	/**
	 * Creates a client.
	 * @param httpClient sends the HTTP calls
	 * @param address the platform's address
	 * @param json converts values to and from JSON
	 * @return the client
	 */
	public static HttpPlatformClient create(BufferedHttpClient httpClient, Address address, ObjectMapper json) {
		return new HttpPlatformClient(httpClient, address, json);
	}

	@Override
	public CompletableFuture<PlatformAnswer> call(PlatformRequest request, Duration timeout) {
		HttpCall call;
		try {
			call = httpCall(request, timeout);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the value of a request can't be converted to JSON", ex);
		}
		return this.httpClient.call(call)
			.thenApply((answer) -> decodeAnswer(request, answer))
			.exceptionally(HttpPlatformClient::failureAnswer);
	}

	private HttpCall httpCall(PlatformRequest request, Duration timeout) throws JsonProcessingException {
		if (request instanceof PlatformRequest.Read read) {
			return HttpCall.of(this.address, "GET", path(read.key()), timeout);
		}
		if (request instanceof PlatformRequest.Create create) {
			return HttpCall.of(this.address, "PUT", path(create.key()), timeout)
				.withBody(this.json.writeValueAsString(create.value()), CONTENT_TYPE)
				.withHeader("If-None-Match", "*");
		}
		if (request instanceof PlatformRequest.Update update) {
			return HttpCall.of(this.address, "PUT", path(update.key()), timeout)
				.withBody(this.json.writeValueAsString(update.value()), CONTENT_TYPE)
				.withHeader("If-Match", quote(update.expectedVersion()));
		}
		if (request instanceof PlatformRequest.Delete delete) {
			return HttpCall.of(this.address, "DELETE", path(delete.key()), timeout)
				.withHeader("If-Match", quote(delete.expectedVersion()));
		}
		if (request instanceof PlatformRequest.ListObjects list) {
			return HttpCall.of(this.address, "GET", "/v1/objects/" + list.kind().path() + "?after="
					+ encode(list.afterName()) + "&limit=" + list.limit(), timeout);
		}
		PlatformRequest.Watch watch = (PlatformRequest.Watch) request;
		return HttpCall.of(this.address, "GET", "/v1/watch/" + watch.kind().path() + "?after=" + watch.afterVersion()
				+ "&wait=" + watch.maximumWait().toMillis() / 1000.0, watch.maximumWait().plus(WATCH_MARGIN));
	}

	private PlatformAnswer decodeAnswer(PlatformRequest request, HttpAnswer answer) {
		try {
			return switch (answer.status()) {
				case OK -> decodeSuccess(request, answer);
				case NO_CONTENT -> new PlatformAnswer.Written(version(answer));
				case NOT_FOUND -> new PlatformAnswer.Missing();
				case PRECONDITION_FAILED -> new PlatformAnswer.Conflict();
				case TOO_MANY_REQUESTS -> new PlatformAnswer.NotTaken(retryAfter(answer), "throttled");
				default -> new PlatformAnswer.NotKnown("the platform answered " + answer.status());
			};
		}
		catch (IOException | IllegalArgumentException ex) {
			return new PlatformAnswer.NotKnown("the platform's answer can't be read: " + ex.getMessage());
		}
	}

	private PlatformAnswer decodeSuccess(PlatformRequest request, HttpAnswer answer) throws IOException {
		if (request instanceof PlatformRequest.Read read) {
			PlatformValue value = this.json.readValue(answer.body(), read.key().kind().valueType());
			return new PlatformAnswer.Found(new StoredObject(read.key(), version(answer), value));
		}
		if (request instanceof PlatformRequest.ListObjects list) {
			return decodeObjects(list.kind(), answer);
		}
		if (request instanceof PlatformRequest.Watch watch) {
			return decodeObjects(watch.kind(), answer);
		}
		return new PlatformAnswer.Written(version(answer));
	}

	private PlatformAnswer decodeObjects(ObjectKind kind, HttpAnswer answer) throws IOException {
		JsonNode body = this.json.readTree(answer.body());
		List<StoredObject> objects = new ArrayList<>();
		for (JsonNode object : body.path("objects")) {
			PlatformValue value = this.json.treeToValue(object.path("value"), kind.valueType());
			ObjectKey key = ObjectKey.of(kind, object.path("name").asText());
			objects.add(new StoredObject(key, object.path("version").asLong(), value));
		}
		return new PlatformAnswer.Listed(List.copyOf(objects), body.path("version").asLong());
	}

	private static PlatformAnswer failureAnswer(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (cause instanceof NotSentException) {
			return new PlatformAnswer.NotTaken(Duration.ZERO, "not sent: " + cause.getMessage());
		}
		return new PlatformAnswer.NotKnown(String.valueOf(cause));
	}

	private static String path(ObjectKey key) {
		return "/v1/objects/" + key.kind().path() + "/" + encode(key.name());
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private static String quote(long version) {
		return "\"" + version + "\"";
	}

	private static long version(HttpAnswer answer) {
		String tag = answer.header("ETag").orElseThrow(() -> new IllegalArgumentException("no ETag"));
		return Long.parseLong(tag.replace("\"", ""));
	}

	private static Duration retryAfter(HttpAnswer answer) {
		return RetryAfterHeader.read(answer);
	}

}
