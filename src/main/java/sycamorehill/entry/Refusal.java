package sycamorehill.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Refusal of a request that was not read completely. Its answer closes the connection.
 *
 * @param status status of the answer
 * @param detail reason for the caller and the log
 */
record Refusal(HttpResponseStatus status, String detail) {

	static final Refusal SLOW_HEAD = new Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "the head took too long");

	static final Refusal SLOW_BODY = new Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "the body took too long");

	static final Refusal LARGE_HEAD = new Refusal(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
			"the head is too large");

	static final Refusal LARGE_BODY = new Refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");

	static final Refusal NO_MEMORY = new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE,
			"the node holds too many bytes of bodies");

	static final Refusal FAILED = new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE,
			"the node failed to handle the request");

	/** Time after which a caller may retry that is refused for lack of memory. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/**
	 * Creates the refusal of a head that could be framed in two ways.
	 * @param violation what is wrong with it
	 * @return the refusal
	 */
	static Refusal ofAmbiguous(String violation) {
		return new Refusal(HttpResponseStatus.BAD_REQUEST, violation);
	}

	/**
	 * Creates the refusal of bytes that could not be decoded.
	 * @param cause why they could not
	 * @return the refusal
	 */
	static Refusal ofMalformed(Throwable cause) {
		return (cause instanceof TooLongFrameException) ? LARGE_HEAD
				: new Refusal(HttpResponseStatus.BAD_REQUEST, "not a request: " + cause.getMessage());
	}

	/**
	 * Creates the answer. The one to a request for a head states the length of a body
	 * that it doesn't have.
	 * @param headOnly whether the request is one for a head
	 * @return the answer
	 */
	FullHttpResponse toAnswer(boolean headOnly) {
		byte[] body = (this.detail + "\n").getBytes(StandardCharsets.UTF_8);
		FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, this.status,
				headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
		answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		if (this.status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
			answer.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER.toSeconds());
		}
		return answer;
	}

}
