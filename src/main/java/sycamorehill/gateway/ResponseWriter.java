package sycamorehill.gateway;

import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;

import sycamorehill.model.request.RecordedAnswer;

/**
 * Writes answers to callers.
 */
final class ResponseWriter {

	private static final String OUTCOME_HEADER = "Outcome";

	private static final String REQUEST_HEADER = "Request-Id";

	private static final String PROBLEM_TYPE = "application/problem+json";

	private static final String EVENT_STREAM_TYPE = "text/event-stream";

	private final ObjectMapper json;

	private ResponseWriter(ObjectMapper json) {
		this.json = json;
	}

	static ResponseWriter create(ObjectMapper json) {
		return new ResponseWriter(json);
	}

	StreamingHttpResponse problem(StreamingHttpResponseFactory factory, Problem problem, String request) {
		StreamingHttpResponse response = whole(factory, problem.status(), PROBLEM_TYPE,
				text(ProblemBody.of(problem, request)), problem.outcome(), request);
		problem.retryAfter().ifPresent((wait) -> response.setHeader("Retry-After", Long.toString(seconds(wait))));
		return response;
	}

	StreamingHttpResponse whole(StreamingHttpResponseFactory factory, int status, String contentType, String body,
			String outcome, String request) {
		return factory.newResponse(HttpResponseStatus.of(status, ""))
			.setHeader("Content-Type", contentType)
			.setHeader(OUTCOME_HEADER, outcome)
			.setHeader(REQUEST_HEADER, request)
			.payloadBody(Publisher.from(buffer(body)));
	}

	StreamingHttpResponse recorded(StreamingHttpResponseFactory factory, RecordedAnswer answer, String request) {
		return whole(factory, answer.status(), answer.contentType(), answer.body(), OutcomeName.COMPLETED, request);
	}

	StreamingHttpResponse stream(StreamingHttpResponseFactory factory, Publisher<Buffer> body, String request) {
		return factory.ok()
			.setHeader("Content-Type", EVENT_STREAM_TYPE)
			.setHeader("Cache-Control", "no-store")
			.setHeader(REQUEST_HEADER, request)
			.payloadBody(body);
	}

	Buffer event(Object data) {
		return buffer("data: " + text(data) + "\n\n");
	}

	Buffer rawEvent(String data) {
		return buffer("data: " + data + "\n\n");
	}

	String text(Object body) {
		try {
			return this.json.writeValueAsString(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a body of ours can't be written", ex);
		}
	}

	private static Buffer buffer(String text) {
		return BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(text);
	}

	private static long seconds(Duration wait) {
		return Math.max(1, wait.plusMillis(Duration.ofSeconds(1).toMillis() - 1).toSeconds());
	}

}
