package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEvent;

/**
 * Request that another node sends through this one, and its answer to that node.
 */
final class ProxiedExchange implements RunningExchange {

	private final long number;

	private final ProxyFrame.Request received;

	private final HttpRequest request;

	private final ProxyChannel connection;

	private final Consumer<ProxiedExchange> completion;

	private final ByteBuf body;

	private final TimeLimit timeLimit = TimeLimit.since(System.nanoTime());

	private final UnwrittenAnswer answer;

	private final ConcurrentAttempts attempts = ConcurrentAttempts.create();

	private boolean streamStarted;

	private boolean finished;

	private ProxiedExchange(long number, ProxyFrame.Request received, ProxyChannel connection,
			Consumer<ProxiedExchange> completion) {
		this.number = number;
		this.received = received;
		this.connection = connection;
		this.completion = completion;
		this.body = Unpooled.buffer(received.bodyBytes());
		this.streamStarted = received.request().answerStarted();
		this.answer = UnwrittenAnswer.of(System.nanoTime());
		this.answer.identify(received.request().identifier());
		HttpHeaders headers = new DefaultHttpHeaders(false);
		received.headers().forEach((header) -> headers.add(header.name(), header.value()));
		this.request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(received.method()),
				received.uri(), headers);
	}

	/**
	 * Creates an exchange.
	 * @param number the number of the request
	 * @param received the request as received
	 * @param connection the connection to the other node
	 * @param completion called when the request has ended
	 * @return the exchange
	 */
	static ProxiedExchange of(long number, ProxyFrame.Request received, ProxyChannel connection,
			Consumer<ProxiedExchange> completion) {
		return new ProxiedExchange(number, received, connection, completion);
	}

	void appendBody(byte[] bytes) {
		this.body.writeBytes(bytes);
	}

	int missingBodyBytes() {
		return this.received.bodyBytes() - this.body.readableBytes();
	}

	UnwrittenAnswer answer() {
		return this.answer;
	}

	ProxyFrame.Request received() {
		return this.received;
	}

	/**
	 * Reports the end of the attempt to the other node.
	 * @param target the target; empty if none was selected
	 * @param end how the attempt ended
	 */
	void end(Optional<TargetName> target, AttemptEnd end) {
		if (!this.finished) {
			finish();
			this.connection.send(new ProxyFrame.End(target, end));
		}
	}

	/**
	 * Reports to the other node that the target has stopped sending.
	 * @param target the target
	 */
	void reportStall(TargetName target) {
		if (!this.finished) {
			this.connection.send(new ProxyFrame.Stalled(target));
		}
	}

	void handleOriginDisconnected(EntryEventSink eventSink) {
		if (!this.finished) {
			this.attempts.cancelAll();
			finish();
			eventSink.post(new EntryEvent.OriginDisconnected(this.number));
		}
	}

	/** Drops a request that was not received completely. */
	void drop() {
		if (!this.finished) {
			finish();
		}
	}

	private void finish() {
		this.finished = true;
		this.timeLimit.cancel();
		this.body.release();
		this.completion.accept(this);
	}

	void pause(boolean paused) {
		this.attempts.pause(paused);
	}

	@Override
	public long number() {
		return this.number;
	}

	@Override
	public void limitTime(Duration timeout, EventLoop loop, EntryEventSink eventSink) {
		this.timeLimit.start(timeout, loop, () -> eventSink.post(new EntryEvent.TimedOut(this.number)));
	}

	@Override
	public boolean isFinished() {
		return this.finished;
	}

	@Override
	public void addAttempt(int attemptNumber, Attempt attempt) {
		this.attempts.add(attemptNumber, attempt);
		if (!this.connection.isWritable()) {
			attempt.pause(true);
		}
	}

	@Override
	public void cancelAttempt(int attemptNumber) {
		this.attempts.cancel(attemptNumber);
	}

	@Override
	public boolean cancelOtherAttempts(int attemptNumber) {
		return this.attempts.cancelOthers(attemptNumber);
	}

	@Override
	public String identifier() {
		return this.received.request().identifier();
	}

	@Override
	public HttpRequest request() {
		return this.request;
	}

	@Override
	public ByteBuf requestBody() {
		return this.body.retainedDuplicate();
	}

	@Override
	public Optional<Duration> timeLeft() {
		return this.timeLimit.timeLeft();
	}

	@Override
	public Optional<String> resumeAfter() {
		return this.received.resumeAfter();
	}

	@Override
	public Optional<String> weightsVersion() {
		return this.received.weightsVersion();
	}

	@Override
	public boolean streamStarted() {
		return this.streamStarted;
	}

	@Override
	public void startStream(HttpResponse head, TargetResponseHead parsedHead) {
		if (!this.finished) {
			this.streamStarted = true;
			sendHead(head, true);
		}
	}

	private void sendHead(HttpResponse head, boolean streaming) {
		List<ProxyFrame.Header> headers = head.headers()
			.entries()
			.stream()
			.map((header) -> new ProxyFrame.Header(header.getKey(), header.getValue()))
			.toList();
		this.connection
			.write(new ProxyFrame.Head(head.status().code(), head.status().reasonPhrase(), headers, streaming));
	}

	@Override
	public void forwardEvent(ByteBuf event, OptionalLong eventNumber) {
		if (!this.finished) {
			byte[] bytes = new byte[event.readableBytes()];
			event.readBytes(bytes);
			this.answer.countBytes(bytes.length);
			this.connection.write(new ProxyFrame.Event(eventNumber, bytes));
		}
		event.release();
	}

	@Override
	public void flush() {
		if (!this.finished) {
			this.connection.flush();
		}
	}

	@Override
	public void endStream() {
		flush();
	}

	@Override
	public Duration maximumPause() {
		return Duration.ZERO;
	}

	@Override
	public void deliver(HttpResponse head, ByteBuf content) {
		if (!this.finished) {
			this.answer.countBytes(content.readableBytes());
			sendHead(head, false);
			this.connection.writeBody(content);
			this.connection.flush();
		}
		content.release();
	}

	@Override
	public void holdFailure(HttpResponse head, ByteBuf content) {
		deliver(head, content);
	}

}
