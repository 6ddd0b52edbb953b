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
 * Plain services over HTTP. Any whole answer that is no refusal is the caller's answer,
 * whatever its status.
 */
public final class HttpPlainService implements PlainServiceClient {

	private static final String DEFAULT_TYPE = "application/octet-stream";

	private static final int MOST_RECORDED_CHARACTERS = 16 * 1024;

	private final BufferedHttpClient caller;

	private HttpPlainService(BufferedHttpClient caller) {
		this.caller = caller;
	}

	/**
	 * Creates the adapter.
	 * @param caller makes the calls
	 * @return the adapter
	 */
	public static HttpPlainService create(BufferedHttpClient caller) {
		return new HttpPlainService(caller);
	}

	@Override
	public CompletableFuture<PlainAnswer> send(Address address, PlainCall call) {
		HttpCall http = HttpCall.of(address, call.method(), call.path(), call.patience());
		if (call.body().isPresent()) {
			http = http.withBody(call.body().get(), call.contentType().orElse(DEFAULT_TYPE));
		}
		if (call.idempotencyKey().isPresent()) {
			http = http.withHeader("Idempotency-Key", call.idempotencyKey().get());
		}
		return this.caller.call(http)
			.thenApply(HttpPlainService::answer)
			.exceptionally((failure) -> new PlainAnswer(AttemptFailures.result(failure), Optional.empty()));
	}

	private static PlainAnswer answer(HttpAnswer answer) {
		String detail = answer.status() + " " + answer.body();
		Optional<AttemptResult> refusal = TargetRefusal.read(answer::header, detail);
		if (refusal.isPresent()) {
			return new PlainAnswer(refusal.get(), Optional.empty());
		}
		RecordedAnswer whole = new RecordedAnswer(answer.status(), answer.header("Content-Type").orElse(DEFAULT_TYPE),
				answer.body());
		Optional<RecordedAnswer> recorded = Optional.of(whole)
			.filter((found) -> found.body().length() <= MOST_RECORDED_CHARACTERS);
		return new PlainAnswer(new AttemptResult.Completed(0, recorded), Optional.of(whole));
	}

}
