package sycamorehill.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpCall;
import sycamorehill.model.identity.Address;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.RecordedAnswer;

/**
 * Calls plain services over HTTP. Every complete answer that is not a refusal is the
 * caller's answer, whatever its status.
 */
public final class HttpPlainService implements PlainServiceClient {

	private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

	private static final int MAXIMUM_RECORDED_CHARACTERS = 16 * 1024;

	private final BufferedHttpClient client;

	private HttpPlainService(BufferedHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client of plain services.
	 * @param client sends the HTTP requests
	 * @return the client
	 */
	public static HttpPlainService create(BufferedHttpClient client) {
		return new HttpPlainService(client);
	}

	@Override
	public CompletableFuture<PlainAnswer> send(Address address, PlainCall call) {
		HttpCall httpCall = HttpCall.of(address, call.method(), call.path(), call.timeout());
		if (call.body().isPresent()) {
			httpCall = httpCall.withBody(call.body().get(), call.contentType().orElse(DEFAULT_CONTENT_TYPE));
		}
		if (call.idempotencyKey().isPresent()) {
			httpCall = httpCall.withHeader("Idempotency-Key", call.idempotencyKey().get());
		}
		return this.client.call(httpCall)
			.thenApply(HttpPlainService::toPlainAnswer)
			.exceptionally((failure) -> new PlainAnswer(AttemptFailures.toResult(failure), Optional.empty()));
	}

	private static PlainAnswer toPlainAnswer(HttpAnswer answer) {
		String detail = answer.status() + " " + answer.body();
		Optional<AttemptResult> refusal = TargetRefusal.read(answer::header, detail);
		if (refusal.isPresent()) {
			return new PlainAnswer(refusal.get(), Optional.empty());
		}
		RecordedAnswer complete = new RecordedAnswer(answer.status(),
				answer.header("Content-Type").orElse(DEFAULT_CONTENT_TYPE), answer.body());
		Optional<RecordedAnswer> recorded = Optional.of(complete)
			.filter((found) -> found.body().length() <= MAXIMUM_RECORDED_CHARACTERS);
		return new PlainAnswer(new AttemptResult.Completed(0, recorded), Optional.of(complete));
	}

}
