package sycamorehill.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;

import sycamorehill.entry.CallAnswer;
import sycamorehill.entry.CallClient;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetAddress;

/**
 * Makes calls to the platform's metadata store.
 */
final class StoreClient {

	/**
	 * Allows the store to answer from a copy that may be seconds old, which costs the
	 * store less.
	 */
	static final String STALE_READ_ALLOWED = "allow_stale=1";

	static final int OK = 200;

	static final int CREATED = 201;

	static final int NOT_FOUND = 404;

	static final int CONFLICT = 409;

	static final int GONE = 410;

	private static final String OBJECTS_PATH = "/-/objects/";

	/**
	 * Timeout of a call that the store answers without waiting for changes. Even a slow
	 * store answers well within it.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	/** Time allowed for a watch beyond the time for which the store may hold it. */
	private static final Duration WATCH_MARGIN = Duration.ofMillis(600);

	private final CallClient client;

	private final TargetAddress store;

	private final ObjectMapper json;

	private StoreClient(CallClient client, Address address, ObjectMapper json) {
		this.client = client;
		this.store = new TargetAddress(TargetName.of("store"), address);
		this.json = json;
	}

	static StoreClient of(CallClient client, Address address, ObjectMapper json) {
		return new StoreClient(client, address, json);
	}

	ObjectMapper json() {
		return this.json;
	}

	CompletableFuture<CallAnswer> get(String path) {
		return call(HttpMethod.GET, path, new byte[0], CALL_TIMEOUT);
	}

	CompletableFuture<CallAnswer> watch(String path, Duration wait) {
		return call(HttpMethod.GET, path, new byte[0], wait.plus(WATCH_MARGIN));
	}

	CompletableFuture<CallAnswer> post(String path, ObjectNode body) {
		return call(HttpMethod.POST, path, toBytes(body), CALL_TIMEOUT);
	}

	CompletableFuture<CallAnswer> put(String path, ObjectNode body) {
		return call(HttpMethod.PUT, path, toBytes(body), CALL_TIMEOUT);
	}

	CompletableFuture<CallAnswer> delete(String path) {
		return call(HttpMethod.DELETE, path, new byte[0], CALL_TIMEOUT);
	}

	private CompletableFuture<CallAnswer> call(HttpMethod method, String path, byte[] body, Duration timeout) {
		return this.client.call(CallClient.Call.of(this.store, method, OBJECTS_PATH + path, body), null, timeout);
	}

	private static byte[] toBytes(JsonNode body) {
		return body.toString().getBytes(StandardCharsets.UTF_8);
	}

	static void requireSuccess(int status) {
		if (status != OK && status != CREATED && status != NOT_FOUND) {
			throw new CompletionException(new IOException("the store answered " + status));
		}
	}

}
