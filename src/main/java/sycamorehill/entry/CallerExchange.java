package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.CharsetUtil;

import sycamorehill.model.serving.EntryEvent;

/**
 * Request of a caller and its answer. Runs on the single event loop of the node.
 */
final class CallerExchange implements RunningExchange {

	private final long number;

	private final CallerConnection callerConnection;

	private final HttpRequest request;

	private final ByteBuf requestBody;

	private final int bodyBytes;

	private final CallerRequestHead caller;

	private final TimeLimit timeLimit;

	private final ExchangeCodec codec;

	private final ConcurrentAttempts attempts = ConcurrentAttempts.create();

	private HttpResponse heldHead;

	private ByteBuf heldBody;

	private boolean streamStarted;

	private boolean finished;

	private OptionalLong lastEventNumber = OptionalLong.empty();

	private Optional<String> weightsVersion = Optional.empty();

	private long lastEventNanos;

	private long maximumPauseNanos;

	private CallerExchange(long number, CallerConnection connection, HttpRequest request, ByteBuf requestBody,
			CallerRequestHead caller, long arrivedNanos, ExchangeCodec codec) {
		this.number = number;
		this.callerConnection = connection;
		this.request = request;
		this.requestBody = requestBody;
		this.bodyBytes = requestBody.readableBytes();
		this.caller = caller;
		this.timeLimit = TimeLimit.since(arrivedNanos);
		this.codec = codec;
	}

	static CallerExchange of(long number, CallerConnection connection, HttpRequest request, ByteBuf requestBody,
			CallerRequestHead caller, long arrivedNanos, ExchangeCodec codec) {
		return new CallerExchange(number, connection, request, requestBody, caller, arrivedNanos, codec);
	}

	@Override
	public long number() {
		return this.number;
	}

	@Override
	public String identifier() {
		return this.caller.identifier();
	}

	@Override
	public HttpRequest request() {
		return this.request;
	}

	@Override
	public ByteBuf requestBody() {
		return this.requestBody.retainedDuplicate();
	}

	int bodyBytes() {
		return this.bodyBytes;
	}

	@Override
	public Optional<String> resumeAfter() {
		return this.lastEventNumber.isPresent() ? Optional.of(String.valueOf(this.lastEventNumber.getAsLong()))
				: this.caller.resumeAfter();
	}

	@Override
	public Optional<String> weightsVersion() {
		return this.streamStarted ? this.weightsVersion : Optional.empty();
	}

	@Override
	public boolean streamStarted() {
		return this.streamStarted;
	}

	@Override
	public void limitTime(Duration timeout, EventLoop loop, EntryEventSink eventSink) {
		this.timeLimit.start(timeout, loop, () -> eventSink.post(new EntryEvent.TimedOut(this.number)));
	}

	@Override
	public Optional<Duration> timeLeft() {
		return this.timeLimit.timeLeft();
	}

	@Override
	public boolean isFinished() {
		return this.finished;
	}

	@Override
	public void addAttempt(int attemptNumber, Attempt attempt) {
		this.attempts.add(attemptNumber, attempt);
	}

	@Override
	public void cancelAttempt(int attemptNumber) {
		this.attempts.cancel(attemptNumber);
	}

	@Override
	public boolean cancelOtherAttempts(int attemptNumber) {
		return this.attempts.cancelOthers(attemptNumber);
	}

	void pause(boolean paused) {
		this.attempts.pause(paused);
	}

	@Override
	public void holdFailure(HttpResponse head, ByteBuf body) {
		releaseHeldFailure();
		this.heldHead = head;
		this.heldBody = body;
	}

	void returnHeldFailure() {
		if (this.heldHead == null || this.finished) {
			return;
		}
		ByteBuf body = this.heldBody;
		this.heldBody = null;
		deliver(this.heldHead, body);
	}

	@Override
	public void deliver(HttpResponse head, ByteBuf body) {
		if (this.finished) {
			body.release();
			return;
		}
		finishWithFullAnswer(head.status(), this.codec.callerHeaders(head), lengthOf(head, body), body);
	}

	// The answer to a request for a head states the length of a body that it doesn't
	// have.
	private Optional<String> lengthOf(HttpResponse head, ByteBuf body) {
		return asksForHead() ? Optional.ofNullable(head.headers().get(HttpHeaderNames.CONTENT_LENGTH))
				: Optional.of(String.valueOf(body.readableBytes()));
	}

	private boolean asksForHead() {
		return this.request.method().equals(HttpMethod.HEAD);
	}

	/**
	 * Returns an answer that the node produces itself.
	 * @param status the HTTP status
	 * @param detail the reason, sent as the body
	 * @param retryAfter the time after which the caller may retry
	 */
	void answerLocally(int status, String detail, Optional<Duration> retryAfter) {
		if (this.finished) {
			return;
		}
		HttpHeaders headers = this.codec.localAnswerHeaders(identifier(), retryAfter);
		ByteBuf body = Unpooled.copiedBuffer(detail + "\n", CharsetUtil.UTF_8);
		finishWithFullAnswer(HttpResponseStatus.valueOf(status), headers,
				Optional.of(String.valueOf(body.readableBytes())), body);
	}

	// A final answer that was decided while the start of the stream was on its way to the
	// decisions can't be sent any more. The caller must not take the stream for complete.
	private void finishWithFullAnswer(HttpResponseStatus status, HttpHeaders headers, Optional<String> length,
			ByteBuf body) {
		if (this.streamStarted) {
			body.release();
			abortAnswer();
			return;
		}
		length.ifPresent((bytes) -> headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes));
		if (asksForHead()) {
			body.clear();
		}
		finish();
		this.callerConnection.finish(
				new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE));
	}

	@Override
	public void startStream(HttpResponse head, TargetResponseHead parsedHead) {
		if (this.streamStarted || this.finished) {
			return;
		}
		this.streamStarted = true;
		this.weightsVersion = parsedHead.weightsVersion();
		HttpHeaders headers = this.codec.callerHeaders(head);
		if (!asksForHead()) {
			headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		this.callerConnection.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers));
	}

	// Drops events that the caller already received from a previous target.
	@Override
	public void forwardEvent(ByteBuf event, OptionalLong eventNumber) {
		boolean known = eventNumber.isPresent() && this.lastEventNumber.isPresent()
				&& eventNumber.getAsLong() <= this.lastEventNumber.getAsLong();
		if (this.finished || known || asksForHead()) {
			event.release();
			return;
		}
		if (eventNumber.isPresent()) {
			this.lastEventNumber = eventNumber;
		}
		long now = System.nanoTime();
		if (this.lastEventNanos != 0) {
			this.maximumPauseNanos = Math.max(this.maximumPauseNanos, now - this.lastEventNanos);
		}
		this.lastEventNanos = now;
		this.callerConnection.write(new DefaultHttpContent(event));
	}

	@Override
	public Duration maximumPause() {
		return Duration.ofNanos(this.maximumPauseNanos);
	}

	@Override
	public void flush() {
		if (!this.finished) {
			this.callerConnection.flush();
		}
	}

	@Override
	public void endStream() {
		if (!this.finished) {
			finish();
			this.callerConnection.finish(LastHttpContent.EMPTY_LAST_CONTENT);
		}
	}

	/**
	 * Closes the connection to the caller within the answer, so that the caller can't
	 * mistake the answer for a complete one.
	 */
	void abortAnswer() {
		if (!this.finished) {
			finish();
			this.callerConnection.abort();
		}
	}

	// Cancels the attempts after the caller's connection was closed.
	void handleDisconnected(boolean cutByNode, EntryEventSink eventSink) {
		if (!this.finished) {
			this.attempts.cancelAll();
			finish();
			eventSink.post(new EntryEvent.CallerDisconnected(this.number, cutByNode));
		}
	}

	private void finish() {
		this.finished = true;
		this.callerConnection.removeExchange(this);
		this.timeLimit.cancel();
		releaseHeldFailure();
		this.requestBody.release();
	}

	private void releaseHeldFailure() {
		if (this.heldBody != null) {
			this.heldBody.release();
			this.heldBody = null;
		}
	}

}
