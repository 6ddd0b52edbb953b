package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NotRunCause;

/**
 * Attempt to get the answer to a request through another node. A request that may run
 * only once is confirmed after the other node has it; until then it has not run.
 */
final class ProxyAttempt implements Attempt, ProxyChannel.Listener {

	/**
	 * Time in which the other node must accept a request. It answers before it selects a
	 * target.
	 */
	private static final Duration ACCEPT_TIMEOUT = Duration.ofMillis(300);

	/** Rate that is expected of the link when a large body is sent. */
	private static final int MINIMUM_BYTES_PER_MILLISECOND = 10_000;

	private final EntryEffect.StartProxiedAttempt start;

	private final CallerExchange exchange;

	private final ProxyConnectionPool connectionPool;

	private final AttemptActivity<String> activity;

	private final ExchangeCodec codec;

	private final EntryEventSink eventSink;

	private final boolean confirmationRequired;

	private final ProxiedAnswer answer;

	private ProxyChannel connection;

	private ScheduledFuture<?> acceptTimer;

	private boolean finished;

	private boolean confirmed;

	private final EventNumbers eventNumbers = EventNumbers.create();

	private ProxyAttempt(EntryEffect.StartProxiedAttempt start, CallerExchange exchange,
			ProxyConnectionPool connections, StreamActivity<String> activity, ExchangeCodec codec,
			EntryEventSink eventSink) {
		this.start = start;
		this.exchange = exchange;
		this.connectionPool = connections;
		this.activity = AttemptActivity.of(activity, start.node().name());
		this.codec = codec;
		this.eventSink = eventSink;
		this.confirmationRequired = !start.request().kind().isRepeatable();
		this.answer = ProxiedAnswer.of(exchange.identifier(), codec);
	}

	static ProxyAttempt start(EntryEffect.StartProxiedAttempt start, CallerExchange exchange,
			ProxyConnectionPool connections, StreamActivity<String> activity, ExchangeCodec codec,
			EntryEventSink eventSink) {
		ProxyAttempt attempt = new ProxyAttempt(start, exchange, connections, activity, codec, eventSink);
		attempt.start();
		return attempt;
	}

	private void start() {
		ProxyChannel idle = this.connectionPool.acquireIdle(this.start.node().address());
		if (idle != null) {
			send(idle);
			return;
		}
		ChannelFuture connecting = this.connectionPool.connect(this.start.node().address());
		connecting.addListener((future) -> {
			if (!future.isSuccess()) {
				finish(Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE));
			}
			else if (this.finished) {
				connecting.channel().close();
			}
			else {
				send(connecting.channel().pipeline().get(ProxyChannel.class));
			}
		});
	}

	private void send(ProxyChannel openConnection) {
		this.connection = openConnection;
		openConnection.listen(this);
		if (this.start.request().kind().isStreaming()) {
			this.activity.recordSent();
		}
		ByteBuf content = this.exchange.requestBody();
		try {
			int bodyBytes = content.readableBytes();
			openConnection.write(new ProxyFrame.Request(this.start.request(), this.exchange.request().method().name(),
					this.exchange.request().uri(), headers(bodyBytes), this.exchange.resumeAfter(),
					this.exchange.weightsVersion(), bodyBytes));
			openConnection.writeBody(content);
			openConnection.flush();
			startAcceptTimer(bodyBytes);
		}
		finally {
			content.release();
		}
	}

	private List<ProxyFrame.Header> headers(int bodyBytes) {
		HttpHeaders headers = this.codec.forwardableHeaders(this.exchange.request());
		if (bodyBytes > 0 || HttpUtil.isContentLengthSet(this.exchange.request())
				|| HttpUtil.isTransferEncodingChunked(this.exchange.request())) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
		}
		return headers.entries()
			.stream()
			.map((Map.Entry<String, String> header) -> new ProxyFrame.Header(header.getKey(), header.getValue()))
			.toList();
	}

	private void startAcceptTimer(int bodyBytes) {
		Duration timeout = ACCEPT_TIMEOUT.plusMillis(bodyBytes / MINIMUM_BYTES_PER_MILLISECOND);
		this.acceptTimer = this.connectionPool.loop()
			.schedule(this::handleNotAccepted, timeout.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void handleNotAccepted() {
		this.connectionPool.closeIdle(this.start.node().address());
		handleLost("the node accepts nothing");
	}

	@Override
	public void handleFrame(ProxyFrame frame) {
		if (this.finished) {
			return;
		}
		if (frame instanceof ProxyFrame.Accepted) {
			handleAccepted();
		}
		else if (frame instanceof ProxyFrame.Head received) {
			this.answer.setHead(received);
		}
		else if (frame instanceof ProxyFrame.Body part) {
			this.answer.append(part);
		}
		else if (frame instanceof ProxyFrame.Event event) {
			handleEvent(event);
		}
		else if (frame instanceof ProxyFrame.Stalled stalled) {
			this.answer.checkStall();
			this.eventSink.post(
					new EntryEvent.ProxiedAttemptStalled(this.start.number(), this.start.attempt(), stalled.target()));
		}
		else if (frame instanceof ProxyFrame.End end) {
			handleEnd(end);
		}
		else {
			handleLost("a frame that only the origin sends");
		}
	}

	private void handleAccepted() {
		this.answer.accept();
		this.acceptTimer.cancel(false);
		if (this.confirmationRequired && !this.confirmed) {
			this.confirmed = true;
			this.connection.send(new ProxyFrame.Confirmed());
		}
	}

	// Called with the first event or the end, as the decisions learn of it then. The
	// caller of a stream that ends before gets an answer instead.
	private void startStream() {
		this.exchange.startStream(this.answer.head(), this.codec.readTargetResponse(this.answer.head()));
	}

	private void handleEvent(ProxyFrame.Event event) {
		this.answer.checkEvent();
		if (!this.eventNumbers.mayBeNext(event.number())) {
			throw new IllegalStateException(EventNumbers.VIOLATION);
		}
		cancelOtherAttempts();
		if (!this.activity.isStarted()) {
			startStream();
			this.activity.recordStarted();
			this.eventSink.post(new EntryEvent.AnswerStarted(this.start.number()));
		}
		if (this.eventNumbers.add(event.number())) {
			this.eventSink.post(new EntryEvent.AnswerNotResumable(this.start.number()));
		}
		this.activity.recordProgress();
		this.exchange.forwardEvent(Unpooled.wrappedBuffer(event.bytes()), event.number());
		this.exchange.flush();
	}

	private void handleEnd(ProxyFrame.End ended) {
		AttemptEnd end = ended.end();
		this.answer.checkEnd(end);
		this.connectionPool.release(this.start.node().address(), this.connection);
		if (end instanceof AttemptEnd.Delivered delivered) {
			finish(ended.target(), deliver(delivered));
			return;
		}
		if (end instanceof AttemptEnd.Failed) {
			this.exchange.holdFailure(this.answer.head(), this.answer.retainBody());
		}
		finish(ended.target(), end);
	}

	private void cancelOtherAttempts() {
		if (this.exchange.cancelOtherAttempts(this.start.attempt())) {
			this.eventSink.post(new EntryEvent.AttemptPrevailed(this.start.number(), this.start.attempt()));
		}
	}

	private AttemptEnd deliver(AttemptEnd.Delivered delivered) {
		cancelOtherAttempts();
		if (!this.answer.isStreaming()) {
			this.exchange.deliver(this.answer.head(), this.answer.retainBody());
			return delivered;
		}
		startStream();
		this.exchange.endStream();
		return new AttemptEnd.Delivered(delivered.status(), this.exchange.maximumPause());
	}

	@Override
	public void handleClosed(String cause, boolean closedHere) {
		handleLost(cause);
	}

	private void handleLost(String cause) {
		if (this.finished) {
			return;
		}
		abandonConnection();
		if (this.confirmationRequired && !this.confirmed) {
			finish(Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE));
		}
		else if (this.exchange.streamStarted()) {
			finish(Optional.empty(), new AttemptEnd.Broken(cause, this.eventNumbers.isComplete(), false));
		}
		else {
			finish(Optional.empty(), new AttemptEnd.Unknown(cause, false));
		}
	}

	@Override
	public void cancel() {
		if (this.finished) {
			return;
		}
		abandonConnection();
		finish();
	}

	private void abandonConnection() {
		if (this.connection != null && !this.answer.isBegun()) {
			this.connection.reset();
		}
		else if (this.connection != null) {
			this.connection.close();
		}
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

	private void finish(Optional<TargetName> target, AttemptEnd end) {
		if (this.finished) {
			return;
		}
		finish();
		this.eventSink.post(new EntryEvent.ProxiedAttemptEnded(this.start.number(), this.start.attempt(), target, end));
	}

	private void finish() {
		this.finished = true;
		if (this.acceptTimer != null) {
			this.acceptTimer.cancel(false);
		}
		this.activity.recordEnded();
		this.answer.release();
	}

}
