package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
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

	/** Maximum size of a non-streaming answer, which is held until it is complete. */
	private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

	private final EntryEffect.StartProxiedAttempt start;

	private final CallerExchange exchange;

	private final ProxyConnectionPool connectionPool;

	private final AttemptActivity<String> activity;

	private final ExchangeCodec codec;

	private final EntryEventSink eventSink;

	private final boolean confirmationRequired;

	private ProxyChannel connection;

	private ScheduledFuture<?> acceptTimer;

	private boolean finished;

	private boolean confirmed;

	private boolean allEventsNumbered = true;

	private HttpResponse head;

	private boolean streaming;

	private final ByteBuf body = Unpooled.buffer();

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
			handleHead(received);
		}
		else if (frame instanceof ProxyFrame.Body part) {
			handleBody(part);
		}
		else if (frame instanceof ProxyFrame.Event event) {
			handleEvent(event);
		}
		else if (frame instanceof ProxyFrame.Stalled stalled) {
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
		this.acceptTimer.cancel(false);
		if (this.confirmationRequired && !this.confirmed) {
			this.confirmed = true;
			this.connection.send(new ProxyFrame.Confirmed());
		}
	}

	private void handleHead(ProxyFrame.Head received) {
		HttpHeaders headers = new DefaultHttpHeaders(false);
		received.headers().forEach((header) -> headers.add(header.name(), header.value()));
		this.head = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				new HttpResponseStatus(received.status(), received.reason()), headers);
		this.streaming = received.streaming();
	}

	// Called with the first event or the end, as the decisions learn of it then. The
	// caller of a stream that ends before gets an answer instead.
	private void startStream() {
		this.exchange.startStream(this.head, this.codec.readTargetResponse(this.head));
	}

	private void handleBody(ProxyFrame.Body part) {
		this.body.writeBytes(part.bytes());
		if (this.body.readableBytes() > MAXIMUM_ANSWER_BYTES) {
			handleLost("the answer is longer than " + MAXIMUM_ANSWER_BYTES + " bytes");
		}
	}

	private void handleEvent(ProxyFrame.Event event) {
		this.allEventsNumbered &= event.number().isPresent();
		cancelOtherAttempts();
		if (!this.activity.isStarted()) {
			startStream();
			this.activity.recordStarted();
			this.eventSink.post(new EntryEvent.AnswerStarted(this.start.number()));
		}
		this.activity.recordProgress();
		this.exchange.forwardEvent(Unpooled.wrappedBuffer(event.bytes()), event.number());
		this.exchange.flush();
	}

	private void handleEnd(ProxyFrame.End ended) {
		AttemptEnd end = ended.end();
		boolean answered = end instanceof AttemptEnd.Delivered || end instanceof AttemptEnd.Failed;
		if (answered && this.head == null) {
			handleLost("an end without an answer");
			return;
		}
		this.connectionPool.release(this.start.node().address(), this.connection);
		if (end instanceof AttemptEnd.Delivered delivered) {
			finish(ended.target(), deliver(delivered));
			return;
		}
		if (end instanceof AttemptEnd.Failed) {
			this.exchange.holdFailure(this.head, this.body.retain());
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
		if (!this.streaming) {
			this.exchange.deliver(this.head, this.body.retain());
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
			finish(Optional.empty(), new AttemptEnd.Broken(cause, this.allEventsNumbered, false));
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
		if (this.connection != null && this.head == null) {
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
		this.body.release();
	}

}
