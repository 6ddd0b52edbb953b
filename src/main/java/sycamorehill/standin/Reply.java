package sycamorehill.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.ReadOnlyBufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;

/**
 * A stand-in's answer.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body the body, empty where the answer is lost and the connection closed
 */
record Reply(int status, Map<String, String> headers, Optional<Publisher<Buffer>> body) {

	private static final int NO_CONTENT = 204;

	static Reply json(int status, String text) {
		return text(status, "application/json", text);
	}

	static Reply text(int status, String contentType, String text) {
		Buffer buffer = ReadOnlyBufferAllocators.DEFAULT_RO_ALLOCATOR.fromUtf8(text);
		return new Reply(status,
				Map.of("content-type", contentType, "content-length", String.valueOf(buffer.readableBytes())),
				Optional.of(Publisher.from(buffer)));
	}

	static Reply empty(int status) {
		Map<String, String> headers = (status != NO_CONTENT) ? Map.of("content-length", "0") : Map.of();
		return new Reply(status, headers, Optional.of(Publisher.empty()));
	}

	static Reply eventStream(Publisher<Buffer> events) {
		return new Reply(200, Map.of("content-type", "text/event-stream"), Optional.of(events));
	}

	static Reply notRun(int status, String reason) {
		return json(status, "{\"reason\": \"" + reason + "\"}").with("Not-Run", "true");
	}

	static Reply lost() {
		return new Reply(0, Map.of(), Optional.empty());
	}

	Reply with(String name, String value) {
		Map<String, String> more = new LinkedHashMap<>(this.headers);
		more.put(name, value);
		return new Reply(this.status, more, this.body);
	}

	StreamingHttpResponse toResponse(StreamingHttpResponseFactory factory) {
		StreamingHttpResponse response = factory.newResponse(HttpResponseStatus.of(this.status, ""));
		this.headers.forEach(response::setHeader);
		return response.payloadBody(this.body.orElseThrow());
	}

}
