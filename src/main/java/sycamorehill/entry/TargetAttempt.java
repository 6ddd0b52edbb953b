package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

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

	private static final String NO_MEMORY_CAUSE = "the answers of all targets hold too much memory";

	private static final String PARTIAL_EVENT_CAUSE = "the stream ends within an event";

	private final EntryEffect.StartAttempt start;

	private final AttemptExchange exchange;

	private final TargetConnectionPool connectionPool;

	private final AttemptActivity<TargetName> activity;

	private final ExchangeCodec codec;

	private final EntryEventSink eventSink;

	private TargetConnection connection;

	private boolean finished;

	private long sentNanos;

	/** Null unless the answer ends with its connection. */
	private TargetWitness witness;

	private HttpResponse head;

	private TargetResponseHead parsedHead;

	private boolean streaming;

	private ByteBuf body;

	/** Bytes of the answer that are held until more of it arrives. */
	private int heldBytes;

	private EventSplitter events;

	private final EventNumbers eventNumbers = EventNumbers.create();

	private TargetAttempt(EntryEffect.StartAttempt start, AttemptExchange exchange, TargetConnectionPool connections,
			StreamActivity<TargetName> activity, ExchangeCodec codec, EntryEventSink eventSink) {
		this.start = start;
		this.exchange = exchange;
		this.connectionPool = connections;
		this.activity = AttemptActivity.of(activity, start.target().name());
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
		Duration maximumIdle = ConnectionReuse.maximumIdleTime(this.start.handling().kind());
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
			this.activity.recordSent();
		}
		ForwardingMetadata forwarding = new ForwardingMetadata(this.start.target().name(), left, this.start.workspace(),
				this.start.priority(), this.exchange.resumeAfter(), this.exchange.weightsVersion());
		ExpectedAnswer answer = ExpectedAnswer.of(this.exchange.identifier(), this.codec::readAnswerIdentifier, this);
		FullHttpRequest request = TargetRequests.create(this.exchange, this.codec, forwarding);
		this.sentNanos = System.nanoTime();
		openConnection.send(request, answer).addListener((future) -> {
			if (!future.isSuccess()) {
				handleConnectionLost("write failed: " + future.cause().getMessage());
			}
		});
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
		Optional<String> violation = AnswerRules.findViolation(response, this.parsedHead);
		if (violation.isPresent()) {
			closeConnection();
			handleInvalidAnswer(violation.get());
			return;
		}
		if (AnswerFraming.endsWithConnection(response) && !this.parsedHead.otherTarget() && !this.parsedHead.notRun()) {
			this.witness = TargetWitness.connect(this.start, this.sentNanos, this.connectionPool,
					this.codec.incarnations(), this.eventSink);
		}
		this.streaming = AnswerRules.isSuccess(response) && this.start.handling().kind().isStreaming();
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
		this.activity.recordProgress();
		try {
			this.events.append(bytes, this::handleEvent);
		}
		catch (IllegalStateException ex) {
			this.exchange.flush();
			closeConnection();
			handleFailure(ex.getMessage(), false);
			return;
		}
		if (!this.finished && !hold(this.events.pendingBytes())) {
			closeConnection();
			handleFailure(NO_MEMORY_CAUSE, false);
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
		if (!this.eventNumbers.mayBeNext(number) || containsAnswer(event)) {
			event.release();
			throw new IllegalStateException("an event that can't be the next one of its stream");
		}
		cancelOtherAttempts();
		if (!this.activity.isStarted()) {
			this.activity.recordStarted();
			this.exchange.startStream(this.head, this.parsedHead);
			this.eventSink.post(new EntryEvent.AnswerStarted(this.start.number()));
		}
		if (this.eventNumbers.add(number)) {
			this.eventSink.post(new EntryEvent.AnswerNotResumable(this.start.number()));
		}
		this.exchange.forwardEvent(event, number);
	}

	private void cancelOtherAttempts() {
		if (this.exchange.cancelOtherAttempts(this.start.attempt())) {
			this.eventSink.post(new EntryEvent.AttemptPrevailed(this.start.number(), this.start.attempt()));
		}
	}

	@Override
	public boolean isContradictedBy(HttpResponse second) {
		return AnswerRules.isContradiction(this.head, this.parsedHead, second, this.codec.readTargetResponse(second));
	}

	@Override
	public void handleEnd() {
		if (this.finished) {
			return;
		}
		releaseConnection();
		if (this.witness == null) {
			completeAnswer();
		}
		else if (this.streaming && !this.activity.isStarted()) {
			handleFailure("the stream ends before its first event", true);
		}
		else if (this.streaming && this.events.hasPartialEvent()) {
			handleFailure(PARTIAL_EVENT_CAUSE, true);
		}
		else {
			this.witness.confirm(this::handleConfirmed);
		}
	}

	private void handleConfirmed(Optional<String> uncertain) {
		if (!this.finished) {
			uncertain.ifPresentOrElse((cause) -> handleFailure(cause, true), this::completeAnswer);
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
		else if (containsAnswer(this.body)) {
			closeConnection();
			handleFailure("a second answer within the body", false);
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

	private boolean containsAnswer(ByteBuf content) {
		return JoinedAnswers.containsAnswer(content, this.exchange.identifier());
	}

	private void endStream(int status) {
		if (this.events.hasPartialEvent()) {
			handleFailure(PARTIAL_EVENT_CAUSE, false);
			return;
		}
		cancelOtherAttempts();
		if (!this.activity.isStarted()) {
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
		finish(this.exchange.streamStarted()
				? new AttemptEnd.Broken(cause, this.eventNumbers.isComplete(), connectionLost)
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
			this.activity.recordPaused(paused);
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
		this.activity.recordEnded();
		if (this.witness != null) {
			this.witness.close();
		}
		if (this.body != null) {
			this.body.release();
		}
		if (this.events != null) {
			this.events.release();
		}
	}

}
