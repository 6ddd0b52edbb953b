package sycamorehill.http;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.RetryableException;

/**
 * Makes calls whose answers are held whole. A failure before the first byte was written
 * is told apart from one after it, for only the first certainly ran nothing.
 */
public final class HttpCaller {

	private static final int MOST_ANSWER_BYTES = 4 * 1024 * 1024;

	private static final BufferAllocator ALLOCATOR = BufferAllocators.DEFAULT_ALLOCATOR;

	private final HttpClientPool pool;

	private HttpCaller(HttpClientPool pool) {
		this.pool = pool;
	}

	/**
	 * Creates a caller.
	 * @param pool the clients to use
	 * @return the caller
	 */
	public static HttpCaller create(HttpClientPool pool) {
		return new HttpCaller(pool);
	}

	/**
	 * Makes a call.
	 * @param call the call
	 * @return the whole answer; fails with {@link NotSentException} if nothing was sent
	 */
	public CompletableFuture<HttpAnswer> call(HttpCall call) {
		StreamingHttpClient client = this.pool.client(call.address());
		return client.request(request(client, call))
			.flatMap(HttpCaller::whole)
			.timeout(call.timeout())
			.onErrorMap(HttpCaller::sorted)
			.toCompletionStage()
			.toCompletableFuture();
	}

	/**
	 * Builds the library's request.
	 * @param client the client that will send it
	 * @param call the call
	 * @return the request
	 */
	public static StreamingHttpRequest request(StreamingHttpClient client, HttpCall call) {
		HttpRequestMethod method = HttpRequestMethod.of(call.method(), HttpRequestMethod.Properties.NONE);
		StreamingHttpRequest request = client.newRequest(method, call.target()).version(HttpProtocolVersion.HTTP_1_1);
		for (HttpHeader header : call.headers()) {
			request.setHeader(header.name(), header.value());
		}
		if (call.body().isPresent()) {
			request.payloadBody(Publisher.from(ALLOCATOR.fromUtf8(call.body().get())));
		}
		return request;
	}

	/**
	 * Sorts a failure.
	 * @param failure what the library reported
	 * @return {@link NotSentException} if no byte was written, else the failure itself
	 */
	public static Throwable sorted(Throwable failure) {
		boolean notSent = failure instanceof ConnectException || failure instanceof RetryableException;
		return notSent ? NotSentException.of(failure) : failure;
	}

	private static Single<HttpAnswer> whole(StreamingHttpResponse response) {
		return Bodies.text(response.payloadBody(), MOST_ANSWER_BYTES)
			.map((body) -> new HttpAnswer(response.status().code(), headers(response), body));
	}

	private static List<HttpHeader> headers(StreamingHttpResponse response) {
		List<HttpHeader> headers = new ArrayList<>();
		response.headers()
			.forEach((entry) -> headers.add(HttpHeader.of(entry.getKey().toString(), entry.getValue().toString())));
		return List.copyOf(headers);
	}

}
