package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.CharsetUtil;
import io.netty.util.concurrent.ScheduledFuture;

import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;

/**
 * One request of a caller and its answer. Lives on the node's one thread.
 */
final class Exchange {

	private final long number;

	private final CallerConnection connection;

	private final HttpRequest request;

	private final ByteBuf requestBody;

	private final CallerHead caller;

	private final long arrivedNanos;

	private final ExchangeCodec codec;

	private Optional<Duration> bound = Optional.empty();

	private ScheduledFuture<?> timer;

	private TargetAttempt attempt;

	private HttpResponse heldHead;

	private ByteBuf heldBody;

	private boolean streamBegun;

	private boolean over;

	private OptionalLong lastEvent = OptionalLong.empty();

	private Optional<String> weightsVersion = Optional.empty();

	private long lastEventNanos;

	private long longestPauseNanos;

	private Exchange(long number, CallerConnection connection, HttpRequest request, ByteBuf requestBody,
			CallerHead caller, long arrivedNanos, ExchangeCodec codec) {
		this.number = number;
		this.connection = connection;
		this.request = request;
		this.requestBody = requestBody;
		this.caller = caller;
		this.arrivedNanos = arrivedNanos;
		this.codec = codec;
	}

	static Exchange of(long number, CallerConnection connection, HttpRequest request, ByteBuf requestBody,
			CallerHead caller, long arrivedNanos, ExchangeCodec codec) {
		return new Exchange(number, connection, request, requestBody, caller, arrivedNanos, codec);
	}

	long number() {
		return this.number;
	}

	String identifier() {
		return this.caller.identifier();
	}

	HttpRequest request() {
		return this.request;
	}

	ByteBuf requestBody() {
		return this.requestBody.retainedDuplicate();
	}

	Optional<String> resumeAfter() {
		return this.lastEvent.isPresent() ? Optional.of(String.valueOf(this.lastEvent.getAsLong()))
				: this.caller.resumeAfter();
	}

	Optional<String> weightsVersion() {
		return this.streamBegun ? this.weightsVersion : Optional.empty();
	}

	boolean streamBegun() {
		return this.streamBegun;
	}

	void bound(Duration timeout, EventLoop loop, EventPost control) {
		this.bound = Optional.of(timeout);
		long left = timeout.toNanos() - (System.nanoTime() - this.arrivedNanos);
		this.timer = loop.schedule(() -> control.post(new EntryEvent.TimedOut(this.number)), Math.max(0, left),
				TimeUnit.NANOSECONDS);
	}

	Optional<Duration> timeLeft() {
		return this.bound.map((timeout) -> timeout.minusNanos(System.nanoTime() - this.arrivedNanos));
	}

	void begin(EntryEffect.StartAttempt start, TargetConnections connections, TargetActivity activity,
			EventPost control) {
		if (this.over) {
			return;
		}
		this.attempt = TargetAttempt.begin(start, this, connections, activity, this.codec, control);
	}

	void cancelAttempt() {
		if (this.attempt != null) {
			this.attempt.cancel();
		}
	}

	void pause(boolean paused) {
		if (this.attempt != null) {
			this.attempt.pause(paused);
		}
	}

	void holdFailure(HttpResponse head, ByteBuf body) {
		releaseHeld();
		this.heldHead = head;
		this.heldBody = body;
	}

	void giveHeldFailure() {
		if (this.heldHead == null || this.over) {
			return;
		}
		ByteBuf body = this.heldBody;
		this.heldBody = null;
		deliver(this.heldHead, body);
	}

	/**
	 * Gives the caller a target's whole answer.
	 * @param head the answer's head
	 * @param body the answer's body, which is released
	 */
	void deliver(HttpResponse head, ByteBuf body) {
		if (this.over) {
			body.release();
			return;
		}
		HttpHeaders headers = this.codec.callerHeaders(head);
		finishWhole(head.status(), headers, body);
	}

	/**
	 * Gives the caller an answer of our own.
	 * @param status the HTTP status
	 * @param detail why
	 * @param retryAfter when to come back
	 */
	void answer(int status, String detail, Optional<Duration> retryAfter) {
		if (this.over) {
			return;
		}
		HttpHeaders headers = this.codec.ownHeaders(identifier(), retryAfter);
		finishWhole(HttpResponseStatus.valueOf(status), headers,
				Unpooled.copiedBuffer(detail + "\n", CharsetUtil.UTF_8));
	}

	private void finishWhole(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
		headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		finish();
		this.connection.finish(
				new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE));
	}

	/**
	 * Begins the caller's stream with the head of the first target that sent an event.
	 * @param head the target's head
	 * @param facts what it says
	 */
	void beginStream(HttpResponse head, TargetHead facts) {
		if (this.streamBegun || this.over) {
			return;
		}
		this.streamBegun = true;
		this.weightsVersion = facts.weightsVersion();
		HttpHeaders headers = this.codec.callerHeaders(head);
		headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		this.connection.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers));
	}

	/**
	 * Passes an event on. Events that the caller has already, from the target before, are
	 * left out.
	 * @param event the event, which is released
	 * @param eventNumber its number
	 */
	void event(ByteBuf event, OptionalLong eventNumber) {
		boolean known = eventNumber.isPresent() && this.lastEvent.isPresent()
				&& eventNumber.getAsLong() <= this.lastEvent.getAsLong();
		if (this.over || known) {
			event.release();
			return;
		}
		if (eventNumber.isPresent()) {
			this.lastEvent = eventNumber;
		}
		long now = System.nanoTime();
		if (this.lastEventNanos != 0) {
			this.longestPauseNanos = Math.max(this.longestPauseNanos, now - this.lastEventNanos);
		}
		this.lastEventNanos = now;
		this.connection.write(new DefaultHttpContent(event));
	}

	Duration longestPause() {
		return Duration.ofNanos(this.longestPauseNanos);
	}

	void flush() {
		if (!this.over) {
			this.connection.flush();
		}
	}

	void endStream() {
		if (!this.over) {
			finish();
			this.connection.finish(LastHttpContent.EMPTY_LAST_CONTENT);
		}
	}

	/**
	 * Closes the caller's connection within the answer, so that the answer can't look
	 * whole.
	 */
	void breakOff() {
		if (!this.over) {
			finish();
			this.connection.abort();
		}
	}

	// The caller went away.
	void abandon(EventPost control) {
		if (!this.over) {
			cancelAttempt();
			finish();
			control.post(new EntryEvent.CallerGone(this.number));
		}
	}

	private void finish() {
		this.over = true;
		this.connection.over(this);
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		releaseHeld();
		this.requestBody.release();
	}

	private void releaseHeld() {
		if (this.heldBody != null) {
			this.heldBody.release();
			this.heldBody = null;
		}
	}

}
