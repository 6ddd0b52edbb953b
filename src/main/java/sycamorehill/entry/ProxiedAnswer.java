package sycamorehill.entry;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import sycamorehill.http.AnswerHeads;
import sycamorehill.http.FieldCharacters;
import sycamorehill.model.serving.AttemptEnd;

/**
 * Answer to a request that is sent through another node, collected from its frames. They
 * carry no number of their request: their order shows that they belong to it. The other
 * node accepts the request first, so that a late frame of an earlier request comes before
 * that. Each method throws an {@link IllegalStateException} for a frame out of order.
 */
final class ProxiedAnswer {

	/** Maximum size of a non-streaming answer, which is held until it is complete. */
	private static final int MAXIMUM_BYTES = 16 * 1024 * 1024;

	private final String identifier;

	private final ExchangeCodec codec;

	private final ByteBuf body = Unpooled.buffer();

	private boolean accepted;

	private HttpResponse head;

	private boolean streaming;

	private ProxiedAnswer(String identifier, ExchangeCodec codec) {
		this.identifier = identifier;
		this.codec = codec;
	}

	/**
	 * Creates an answer of which nothing has arrived.
	 * @param identifier identifier of the request
	 * @param codec reads the head of the answer
	 * @return the answer
	 */
	static ProxiedAnswer of(String identifier, ExchangeCodec codec) {
		return new ProxiedAnswer(identifier, codec);
	}

	/** Records that the other node has received the request. */
	void accept() {
		require(!this.accepted, "a request is accepted twice");
		this.accepted = true;
	}

	void setHead(ProxyFrame.Head received) {
		require(this.accepted, "an answer to a request that is not accepted");
		require(this.head == null, "a second answer");
		require(AnswerHeads.isStatus(received.status()), "an answer with no status");
		require(FieldCharacters.isValue(received.reason())
				&& received.headers().stream().allMatch(ProxiedAnswer::isField), "a head that is none");
		HttpHeaders headers = new DefaultHttpHeaders(false);
		received.headers().forEach((header) -> headers.add(header.name(), header.value()));
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				new HttpResponseStatus(received.status(), received.reason()), headers);
		Optional<String> answered = this.codec.readAnswerIdentifier(response);
		require(answered.isEmpty() || answered.get().equals(this.identifier), "an answer to another request");
		this.head = response;
		this.streaming = received.streaming();
	}

	private static boolean isField(ProxyFrame.Header header) {
		return FieldCharacters.isName(header.name()) && FieldCharacters.isValue(header.value());
	}

	void append(ProxyFrame.Body part) {
		require(this.head != null && !this.streaming, "a body without its head");
		require(this.body.readableBytes() + part.bytes().length <= MAXIMUM_BYTES,
				"the answer is longer than " + MAXIMUM_BYTES + " bytes");
		this.body.writeBytes(part.bytes());
	}

	/** Checks that an event may follow. */
	void checkEvent() {
		require(this.head != null && this.streaming, "an event without the head of a stream");
	}

	/** Checks that a notice that the target is silent may follow. */
	void checkStall() {
		require(this.accepted, "a stall of a request that is not accepted");
	}

	/**
	 * Checks that the attempt may end in a certain way.
	 * @param end how it ends
	 */
	void checkEnd(AttemptEnd end) {
		require(this.accepted || end instanceof AttemptEnd.NotRun, "the end of a request that is not accepted");
		if (end instanceof AttemptEnd.Delivered delivered) {
			checkStatus(delivered.status());
		}
		else if (end instanceof AttemptEnd.Failed failed) {
			checkStatus(failed.status());
			require(!this.streaming, "a failure behind the head of a stream");
		}
	}

	private void checkStatus(int status) {
		require(this.head != null, "an end without an answer");
		require(this.head.status().code() == status,
				"answered " + this.head.status().code() + " and ended with " + status);
	}

	private static void require(boolean condition, String violation) {
		if (!condition) {
			throw new IllegalStateException(violation);
		}
	}

	boolean isBegun() {
		return this.head != null;
	}

	boolean isStreaming() {
		return this.streaming;
	}

	HttpResponse head() {
		return this.head;
	}

	ByteBuf retainBody() {
		return this.body.retain();
	}

	void release() {
		this.body.release();
	}

}
