package sycamorehill.engine;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.TerminalSignalConsumer;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpResponse;

import sycamorehill.http.AnswerHeads;
import sycamorehill.http.BodyReader;
import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.EventStreamReader;
import sycamorehill.http.HttpCall;
import sycamorehill.model.request.AttemptResult;

/**
 * Reads the token events of one completion and reports its end to the listener at most
 * once. A stream that ends without its end mark counts as interrupted, even if the
 * connection was closed without an error.
 */
final class CompletionStream {

	private static final int OK = 200;

	private static final int MAXIMUM_REFUSAL_BYTES = 16 * 1024;

	private final ObjectMapper json;

	private final AttemptListener listener;

	private final EventStreamReader reader = EventStreamReader.create();

	private final AtomicBoolean finished = new AtomicBoolean();

	private volatile Cancellable cancellable = Cancellable.IGNORE_CANCEL;

	private CompletionStream(ObjectMapper json, AttemptListener listener) {
		this.json = json;
		this.listener = listener;
	}

	static CompletionStream start(StreamingHttpClient client, HttpCall call, ObjectMapper json,
			AttemptListener listener) {
		CompletionStream stream = new CompletionStream(json, listener);
		stream.cancellable = client.request(BufferedHttpClient.request(client, call))
			.flatMapPublisher((response) -> stream.payload(response, call.method()))
			.timeout(call.timeout())
			.whenFinally(stream.terminalSignals())
			.forEach(stream::read);
		return stream;
	}

	void cancel() {
		this.finished.set(true);
		this.cancellable.cancel();
	}

	private Publisher<Buffer> payload(StreamingHttpResponse response, String method) {
		if (response.status().code() == OK) {
			return response.payloadBody();
		}
		return BodyReader.readText(response.payloadBody(), MAXIMUM_REFUSAL_BYTES).flatMapPublisher((body) -> {
			AnswerHeads.check(response, method);
			end(refusal(response, body));
			return Publisher.<Buffer>empty();
		});
	}

	private static AttemptResult refusal(StreamingHttpResponse response, String body) {
		String detail = response.status().code() + " " + body;
		return TargetRefusal
			.read((name) -> Optional.ofNullable(response.headers().get(name)).map(CharSequence::toString), detail)
			.orElseGet(() -> new AttemptResult.FailedWhileRunning(detail));
	}

	private void read(Buffer buffer) {
		for (String data : this.reader.read(buffer)) {
			handleEvent(data);
		}
	}

	private void handleEvent(String data) {
		JsonNode event;
		try {
			event = this.json.readTree(data);
		}
		catch (IOException ex) {
			end(new AttemptResult.Interrupted(false, "the engine sent a line that can't be read"));
			this.cancellable.cancel();
			return;
		}
		if (event.path("end").asBoolean()) {
			end(new AttemptResult.Completed(event.path("tokens").asInt(), Optional.empty()));
		}
		else if (!this.finished.get()) {
			this.listener.handleToken(event.path("index").asInt(), event.path("token").asText());
		}
	}

	private void end(AttemptResult result) {
		if (this.finished.compareAndSet(false, true)) {
			this.listener.handleEnd(result);
		}
	}

	private TerminalSignalConsumer terminalSignals() {
		return new TerminalSignalConsumer() {

			@Override
			public void onComplete() {
				end(new AttemptResult.Interrupted(true, "the stream ended without its end mark"));
			}

			@Override
			public void onError(Throwable throwable) {
				end(AttemptFailures.toResult(throwable));
			}

			@Override
			public void cancel() {
				end(new AttemptResult.Interrupted(false, "cancelled"));
			}

		};
	}

}
