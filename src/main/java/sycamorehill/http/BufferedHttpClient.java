package sycamorehill.http;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.client.api.ConnectionRejectedException;
import io.servicetalk.client.api.NoActiveHostException;
import io.servicetalk.client.api.NoAvailableHostException;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Makes HTTP calls and collects each answer in memory. It distinguishes failures before
 * the first byte of the request was written from later ones, because only the former
 * guarantee that the server didn't execute the request.
 */
public final class BufferedHttpClient {

	private static final int MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

	private static final BufferAllocator ALLOCATOR = BufferAllocators.DEFAULT_ALLOCATOR;

	private final HttpClientPool pool;

	private BufferedHttpClient(HttpClientPool pool) {
		this.pool = pool;
	}

	/**
	 * Creates a client.
	 * @param pool the pool of clients to use
	 * @return the client
	 */
	public static BufferedHttpClient create(HttpClientPool pool) {
		return new BufferedHttpClient(pool);
	}

	/**
	 * Makes a call.
	 * @param call the call
	 * @return a future with the complete answer, which fails with
	 * {@link NotSentException} if nothing was sent, and with
	 * {@link UnframedAnswerException} if the answer may have been cut off, or with
	 * {@link MalformedAnswerException} if its head is none
	 */
	public CompletableFuture<HttpAnswer> call(HttpCall call) {
		StreamingHttpClient client = this.pool.client(call.address());
		return client.request(request(client, call))
			.flatMap((response) -> readAnswer(response, call.method()))
			.timeout(call.timeout())
			.onErrorMap(BufferedHttpClient::classifyFailure)
			.toCompletionStage()
			.toCompletableFuture();
	}

	/**
	 * Creates the ServiceTalk request for a call.
	 * @param client the client that will send the request
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
	 * Classifies a failure by whether the request was sent. That a connection was closed
	 * before a write had ended shows nothing: the bytes may be with the server already.
	 * @param failure the failure that ServiceTalk reported
	 * @return a {@link NotSentException} if there was no connection, otherwise the
	 * failure itself
	 */
	public static Throwable classifyFailure(Throwable failure) {
		boolean notSent = failure instanceof ConnectException || failure instanceof NoAvailableHostException
				|| failure instanceof NoActiveHostException || failure instanceof ConnectionRejectedException;
		return notSent ? NotSentException.of(failure) : failure;
	}

	private static Single<HttpAnswer> readAnswer(StreamingHttpResponse response, String method) {
		return BodyReader.readText(response.payloadBody(), MAXIMUM_ANSWER_BYTES).map((body) -> {
			AnswerHeads.check(response, method);
			return new HttpAnswer(response.status().code(), headers(response), body);
		});
	}

	private static List<HttpHeader> headers(StreamingHttpResponse response) {
		List<HttpHeader> headers = new ArrayList<>();
		response.headers()
			.forEach((entry) -> headers.add(HttpHeader.of(entry.getKey().toString(), entry.getValue().toString())));
		return List.copyOf(headers);
	}

}
