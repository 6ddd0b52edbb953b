package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NotRunCause;

/**
 * Attempt to get the answer to a request from a target. Each attempt ends once, with an
 * {@link AttemptEnd}; after a cancellation nothing of it reaches the caller.
 */
final class TargetAttempt implements Attempt, AnswerHandler {

	private static final int MINIMUM_SERVER_ERROR_STATUS = 500;

	/** Maximum size of a non-streaming answer, which is held until it is complete. */
	private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

	/**
	 * Maximum idle time of a connection that is reused for a non-idempotent request: if
	 * the target closes the connection while the request is in transit, the outcome is
	 * unknown.
	 */
	private static final Duration MAXIMUM_IDLE_TIME_NON_IDEMPOTENT = Duration.ofMillis(400);

	private static final Duration MAXIMUM_IDLE_TIME_IDEMPOTENT = Duration.ofMinutes(10);

	private static final String NO_MEMORY_CAUSE = "the answers of all targets hold too much memory";

	private final EntryEffect.StartAttempt start;

	private final AttemptExchange exchange;

	private final TargetConnectionPool connectionPool;

	private final StreamActivity<TargetName> activity;

	private final ExchangeCodec codec;

	private final EntryEventSink eventSink;

	private TargetConnection connection;

	private boolean finished;

	private boolean activityTracked;

	private boolean answerStarted;

	private boolean paused;

	private HttpResponse head;

	private TargetResponseHead parsedHead;

	private boolean streaming;

	private ByteBuf body;

	/** Bytes of the answer that are held until more of it arrives. */
	private int heldBytes;

	private EventSplitter events;

	private boolean allEventsNumbered = true;

	private TargetAttempt(EntryEffect.StartAttempt start, AttemptExchange exchange, TargetConnectionPool connections,
			StreamActivity<TargetName> activity, ExchangeCodec codec, EntryEventSink eventSink) {
		this.start = start;
		this.exchange = exchange;
		this.connectionPool = connections;
		this.activity = activity;
		this.codec = codec;
		this.eventSink = eventSink;
	}

	static TargetAttempt start(EntryEffect.StartAttempt start, AttemptExchange exchange,
			TargetConnectionPool connections, StreamActivity<TargetName> activity, ExchangeCodec codec,
			EntryEventSink eventSink) {
		TargetAttempt attempt = new TargetAttempt(start, exchange, connections, activity, codec, eventSink);
		attempt.start();
		return attempt;
	}

	private void start() {
		Duration maximumIdle = this.start.handling().kind().isRepeatable() ? MAXIMUM_IDLE_TIME_IDEMPOTENT
				: MAXIMUM_IDLE_TIME_NON_IDEMPOTENT;
		TargetConnection idle = this.connectionPool.acquireIdle(this.start.target(), maximumIdle,
				this.exchange.identifier());
		if (idle != null) {
			send(idle);
			return;
		}
		ChannelFuture connecting = this.connectionPool.connect(this.start.target());
		connecting.addListener((future) -> {
			if (!future.isSuccess()) {
				finish(new AttemptEnd.NotRun(NotRunCause.NOT_CONNECTED));
				return;
			}
			this.eventSink.post(new EntryEvent.TargetConnected(this.start.target().name()));
			if (this.finished) {
				connecting.channel().close();
			}
			else {
				send(TargetConnection.of(connecting.channel()));
			}
		});
	}

	private void send(TargetConnection openConnection) {
		Optional<Duration> left = this.exchange.timeLeft();
		if (left.filter((time) -> time.isNegative() || time.isZero()).isPresent()) {
			this.connectionPool.release(this.start.target(), openConnection, null);
			finish(new AttemptEnd.NotRun(NotRunCause.EXPIRED));
			return;
		}
		this.connection = openConnection;
		if (this.start.handling().kind().isStreaming()) {
			this.activityTracked = true;
			this.activity.recordRequestSent(this.start.target().name(), System.nanoTime());
		}
		ForwardingMetadata forwarding = new ForwardingMetadata(this.start.target().name(), left, this.start.workspace(),
				this.start.priority(), this.exchange.resumeAfter(), this.exchange.weightsVersion());
		ExpectedAnswer answer = ExpectedAnswer.of(this.exchange.identifier(), this.codec::readAnswerIdentifier, this);
		openConnection.send(request(forwarding), answer).addListener((future) -> {
			if (!future.isSuccess()) {
				handleConnectionLost("write failed: " + future.cause().getMessage());
			}
		});
	}

	private FullHttpRequest request(ForwardingMetadata forwarding) {
		ByteBuf content = this.exchange.requestBody();
		HttpHeaders headers = this.codec.targetHeaders(this.exchange.request(), forwarding);
		if (content.isReadable() || HttpUtil.isContentLengthSet(this.exchange.request())
				|| HttpUtil.isTransferEncodingChunked(this.exchange.request())) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.exchange.request().method(),
				this.exchange.request().uri(), content, headers, EmptyHttpHeaders.INSTANCE);
	}

	@Override
	public void handleHead(HttpResponse response) {
		this.head = response;
		this.parsedHead = this.codec.readTargetResponse(response);
		boolean fromTarget = this.parsedHead.signed() || this.parsedHead.notRun();
		if (fromTarget && !this.parsedHead.otherTarget()) {
			this.eventSink.post(new EntryEvent.TargetReported(this.start.number(), this.start.target().name(),
					this.parsedHead.report()));
		}
		boolean success = isSuccess(response);
		if (success && (!this.parsedHead.signed() || this.parsedHead.identifier().isEmpty())) {
			closeConnection();
			finish(new AttemptEnd.Unknown("a success without the target's signature", false));
			return;
		}
		this.streaming = success && this.start.handling().kind().isStreaming();
		if (this.streaming) {
			this.events = EventSplitter.create(this.connection.context().alloc());
		}
		else {
			this.body = this.connection.context().alloc().buffer();
		}
	}

	@Override
	public void handleBody(ByteBuf bytes) {
		if (this.finished) {
			return;
		}
		if (!this.streaming) {
			handlePart(bytes);
			return;
		}
		this.activity.recordProgress(this.start.target().name(), System.nanoTime());
		try {
			this.events.append(bytes, this::handleEvent);
		}
		catch (IllegalStateException ex) {
			closeConnection();
			handleStreamFailure(ex.getMessage(), false);
			return;
		}
		if (!this.finished && !hold(this.events.pendingBytes())) {
			closeConnection();
			handleStreamFailure(NO_MEMORY_CAUSE, false);
			return;
		}
		this.exchange.flush();
	}

	private void handlePart(ByteBuf bytes) {
		int size = this.body.readableBytes() + bytes.readableBytes();
		boolean tooLong = size > MAXIMUM_ANSWER_BYTES;
		if (tooLong || !hold(size)) {
			closeConnection();
			finish(new AttemptEnd.Unknown(
					tooLong ? "the answer is longer than " + MAXIMUM_ANSWER_BYTES + " bytes" : NO_MEMORY_CAUSE, false));
			return;
		}
		this.body.writeBytes(bytes);
	}

	private boolean hold(int bytes) {
		boolean held = this.connectionPool.answerMemory().resize(this.heldBytes, bytes);
		this.heldBytes = held ? bytes : this.heldBytes;
		return held;
	}

	private void handleEvent(ByteBuf event, OptionalLong number) {
		if (this.finished) {
			event.release();
			return;
		}
		this.allEventsNumbered &= number.isPresent();
		cancelOtherAttempts();
		if (!this.answerStarted) {
			this.answerStarted = true;
			this.activity.recordStreamStarted(this.start.target().name(), System.nanoTime());
			this.exchange.startStream(this.head, this.parsedHead);
			this.eventSink.post(new EntryEvent.AnswerStarted(this.start.number()));
		}
		this.exchange.forwardEvent(event, number);
	}

	private void cancelOtherAttempts() {
		if (this.exchange.cancelOtherAttempts(this.start.attempt())) {
			this.eventSink.post(new EntryEvent.AttemptPrevailed(this.start.number(), this.start.attempt()));
		}
	}

	// A success, and the promise that the request did not run, must be true. A target
	// that
	// has run a request may answer with the status of a refusal.
	@Override
	public boolean isContradictedBy(HttpResponse second) {
		boolean otherStatus = second.status().code() != this.head.status().code();
		if (isRefusal(this.parsedHead)) {
			return otherStatus || !isRefusal(this.codec.readTargetResponse(second));
		}
		return otherStatus && isSuccess(this.head);
	}

	private static boolean isRefusal(TargetResponseHead head) {
		return head.notRun() || head.otherTarget();
	}

	private static boolean isSuccess(HttpResponse response) {
		return response.status().codeClass() == HttpStatusClass.SUCCESS;
	}

	@Override
	public void handleEnd() {
		if (this.finished) {
			return;
		}
		boolean endedByConnection = endedByConnection();
		releaseConnection();
		if (endedByConnection) {
			checkTargetIsAlive();
		}
		else {
			completeAnswer();
		}
	}

	private boolean endedByConnection() {
		return !HttpUtil.isContentLengthSet(this.head) && !HttpUtil.isTransferEncodingChunked(this.head)
				&& !this.connection.isOpen() && !this.parsedHead.otherTarget() && !this.parsedHead.notRun();
	}

	// A process that ends closes its connections too, and its answer would pass for a
	// whole one.
	private void checkTargetIsAlive() {
		if (this.streaming && !this.answerStarted) {
			handleStreamFailure("the stream ends before its first event", true);
			return;
		}
		TargetProbe.of(this.connectionPool, this.eventSink)
			.connect(this.start.target(), () -> endChecked(true),
					(cause) -> endChecked(cause instanceof ConnectTimeoutException));
	}

	private void endChecked(boolean mayBeAlive) {
		if (this.finished) {
			return;
		}
		if (mayBeAlive) {
			completeAnswer();
		}
		else {
			handleFailure("the target ended with its answer", true);
		}
	}

	private void completeAnswer() {
		int status = this.head.status().code();
		if (this.parsedHead.otherTarget()) {
			finish(new AttemptEnd.NotRun(NotRunCause.WRONG_TARGET));
		}
		else if (this.parsedHead.notRun()) {
			finish(new AttemptEnd.NotRun(NotRunCause.REFUSED));
		}
		else if (this.streaming) {
			endStream(status);
		}
		else if (status >= MINIMUM_SERVER_ERROR_STATUS && this.start.handling().holdFailures()) {
			this.exchange.holdFailure(this.head, this.body.retain());
			finish(new AttemptEnd.Failed(status));
		}
		else if (this.exchange.streamStarted()) {
			finish(new AttemptEnd.Broken("a resumed stream was answered with status " + status, true, false));
		}
		else {
			cancelOtherAttempts();
			this.exchange.deliver(this.head, this.body.retain());
			finish(new AttemptEnd.Delivered(status, Duration.ZERO, Optional.of(this.connection.use())));
		}
	}

	private void endStream(int status) {
		if (this.events.hasPartialEvent()) {
			handleStreamFailure("the stream ends within an event", endedByConnection());
			return;
		}
		cancelOtherAttempts();
		if (!this.answerStarted) {
			this.exchange.startStream(this.head, this.parsedHead);
		}
		this.exchange.endStream();
		finish(new AttemptEnd.Delivered(status, this.exchange.maximumPause(), Optional.of(this.connection.use())));
	}

	private void releaseConnection() {
		if (this.connection.isReusable()) {
			this.connection.pause(false);
			this.connectionPool.release(this.start.target(), this.connection,
					this.parsedHead.idleTimeout().orElse(null));
		}
		else {
			this.connection.close();
		}
	}

	@Override
	public void handleConnectionLost(String cause) {
		handleFailure(cause, true);
	}

	@Override
	public void handleInvalidAnswer(String cause) {
		handleFailure(cause, false);
	}

	private void handleFailure(String cause, boolean connectionLost) {
		if (this.finished) {
			return;
		}
		if (this.head == null || !this.streaming) {
			finish(this.exchange.streamStarted() ? new AttemptEnd.Broken(cause, true, connectionLost)
					: new AttemptEnd.Unknown(cause, connectionLost));
			return;
		}
		handleStreamFailure(cause, connectionLost);
	}

	private void handleStreamFailure(String cause, boolean connectionLost) {
		boolean streamStarted = this.exchange.streamStarted();
		finish(streamStarted ? new AttemptEnd.Broken(cause, this.allEventsNumbered, connectionLost)
				: new AttemptEnd.Unknown(cause, connectionLost));
	}

	@Override
	public void cancel() {
		if (this.finished) {
			return;
		}
		if (this.head == null && this.connection != null) {
			this.connection.reset();
		}
		else {
			closeConnection();
		}
		finish();
	}

	@Override
	public boolean isEnded() {
		return this.finished;
	}

	@Override
	public void pause(boolean paused) {
		if (this.connection != null && !this.finished) {
			this.connection.pause(paused);
			recordPaused(paused);
		}
	}

	private void recordPaused(boolean pausedNow) {
		if (this.paused == pausedNow || !this.answerStarted) {
			return;
		}
		this.paused = pausedNow;
		if (pausedNow) {
			this.activity.recordPaused(this.start.target().name());
		}
		else {
			this.activity.recordResumed(this.start.target().name(), System.nanoTime());
		}
	}

	private void closeConnection() {
		if (this.connection != null) {
			this.connection.close();
		}
	}

	private void finish(AttemptEnd end) {
		if (this.finished) {
			return;
		}
		finish();
		this.eventSink.post(new EntryEvent.AttemptEnded(this.start.number(), this.start.attempt(), end));
	}

	private void finish() {
		this.finished = true;
		hold(0);
		if (this.activityTracked) {
			recordPaused(false);
			this.activity.recordRequestEnded(this.start.target().name(), this.answerStarted, System.nanoTime());
		}
		if (this.body != null) {
			this.body.release();
		}
		if (this.events != null) {
			this.events.release();
		}
	}

}
