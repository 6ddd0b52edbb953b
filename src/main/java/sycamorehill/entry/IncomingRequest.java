package sycamorehill.entry;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

import sycamorehill.model.serving.CallerLimits;

/**
 * Request of a caller whose head was read and whose body arrives. The bytes of the body
 * count as held by the server.
 */
final class IncomingRequest {

	private static final int INITIAL_BODY_BYTES = 256;

	private final CallerServer server;

	private final HttpRequest head;

	private final int maximumBodyBytes;

	private final ByteBuf body = Unpooled.buffer(INITIAL_BODY_BYTES);

	private IncomingRequest(CallerServer server, HttpRequest head, int maximumBodyBytes) {
		this.server = server;
		this.head = head;
		this.maximumBodyBytes = maximumBodyBytes;
	}

	/**
	 * Creates a request without any part of its body.
	 * @param server counts the bytes of bodies
	 * @param head the head
	 * @param limits limits of the request
	 * @return the request
	 */
	static IncomingRequest of(CallerServer server, HttpRequest head, CallerLimits limits) {
		return new IncomingRequest(server, head, limits.maximumBodyBytes());
	}

	/**
	 * Returns why a request is refused by its head.
	 * @param head the head
	 * @param limits limits of the request
	 * @return the refusal; empty if the body may be read
	 */
	static Optional<Refusal> findRefusal(HttpRequest head, CallerLimits limits) {
		Optional<String> violation = RequestValidator.findViolation(head);
		if (violation.isPresent()) {
			return violation.map(Refusal::ofAmbiguous);
		}
		return (HttpUtil.getContentLength(head, 0L) > limits.maximumBodyBytes()) ? Optional.of(Refusal.LARGE_BODY)
				: Optional.empty();
	}

	/**
	 * Appends a part of the body, unless it is refused.
	 * @param part the part
	 * @return the refusal; empty if the part was appended
	 */
	Optional<Refusal> append(ByteBuf part) {
		if (this.body.readableBytes() + part.readableBytes() > this.maximumBodyBytes) {
			return Optional.of(Refusal.LARGE_BODY);
		}
		if (!this.server.reserveBody(part.readableBytes())) {
			return Optional.of(Refusal.NO_MEMORY);
		}
		this.body.writeBytes(part);
		return Optional.empty();
	}

	HttpRequest head() {
		return this.head;
	}

	ByteBuf body() {
		return this.body;
	}

	/** Releases the body of a request that is not passed on. */
	void release() {
		this.server.releaseBody(this.body.readableBytes());
		this.body.release();
	}

}
