package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NotRunCause;

/**
 * One attempt to have a request answered by a target. It ends once, in one of the ways of
 * {@link AttemptEnd}; after it was cancelled nothing of it reaches the caller.
 */
final class TargetAttempt implements AnswerReader {

	private static final int SUCCESS_CLASS = 2;

	private static final int SERVER_ERROR = 500;

	/** Largest plain answer that is held until it is whole. */
	private static final int MOST_ANSWER_BYTES = 16 * 1024 * 1024;

	/**
	 * How long a connection may have been idle for a request that must not be repeated: a
	 * close by the target that crosses the request would leave its outcome unknown.
	 */
	private static final Duration YOUNG = Duration.ofMillis(400);

	private static final Duration ANY_AGE = Duration.ofMinutes(10);

	private final EntryEffect.StartAttempt start;

	private final Exchange exchange;

	private final TargetConnections connections;

	private final TargetActivity activity;

	private final ExchangeCodec codec;

	private final EventPost control;

	private TargetConnection connection;

	private boolean reused;

	private boolean over;

	private boolean watched;

	private boolean answerBegun;

	private HttpResponse head;

	private TargetHead facts;

	private boolean streaming;

	private ByteBuf body;

	private EventSplitter events;

	private boolean numbered = true;

	private TargetAttempt(EntryEffect.StartAttempt start, Exchange exchange, TargetConnections connections,
			TargetActivity activity, ExchangeCodec codec, EventPost control) {
		this.start = start;
		this.exchange = exchange;
		this.connections = connections;
		this.activity = activity;
		this.codec = codec;
		this.control = control;
	}

	static TargetAttempt begin(EntryEffect.StartAttempt start, Exchange exchange, TargetConnections connections,
			TargetActivity activity, ExchangeCodec codec, EventPost control) {
		TargetAttempt attempt = new TargetAttempt(start, exchange, connections, activity, codec, control);
		attempt.begin();
		return attempt;
	}

	private void begin() {
		Duration longestIdle = this.start.handling().kind().isRepeatable() ? ANY_AGE : YOUNG;
		TargetConnection idle = this.connections.takeIdle(this.start.target(), longestIdle);
		if (idle != null) {
			this.reused = true;
			send(idle);
			return;
		}
		ChannelFuture connecting = this.connections.connect(this.start.target());
		connecting.addListener((future) -> {
			if (!future.isSuccess()) {
				end(new AttemptEnd.NotRun(NotRunCause.NOT_SENT, Optional.empty()));
			}
			else if (this.over) {
				connecting.channel().close();
			}
			else {
				send(connecting.channel().pipeline().get(TargetConnection.class));
			}
		});
	}

	private void send(TargetConnection taken) {
		Optional<Duration> left = this.exchange.timeLeft();
		if (left.filter((time) -> time.isNegative() || time.isZero()).isPresent()) {
			this.connections.giveBack(this.start.target(), taken, null);
			end(new AttemptEnd.NotRun(NotRunCause.NOT_SENT, Optional.empty()));
			return;
		}
		this.connection = taken;
		taken.await(this);
		if (this.start.handling().kind().isStreaming()) {
			this.watched = true;
			this.activity.sent(this.start.target().name(), System.nanoTime());
		}
		Forwarding forwarding = new Forwarding(this.start.target().name(), left, this.start.workspace(),
				this.start.priority(), this.exchange.resumeAfter(), this.exchange.weightsVersion());
		taken.context().writeAndFlush(request(forwarding)).addListener((future) -> {
			if (!future.isSuccess()) {
				broken("write failed: " + future.cause().getMessage());
			}
		});
	}

	private FullHttpRequest request(Forwarding forwarding) {
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
	public void head(HttpResponse response) {
		this.head = response;
		this.facts = this.codec.readTarget(response);
		boolean ours = this.facts.identifier().map(this.exchange.identifier()::equals).orElse(!this.reused);
		if (!ours) {
			drop();
			end(new AttemptEnd.Unknown("an answer to another request"));
			return;
		}
		boolean byTarget = this.facts.signed() || this.facts.notRun();
		if (byTarget && !this.facts.otherTarget()) {
			this.control.post(new EntryEvent.TargetTold(this.start.number(), this.start.target().name(),
					this.facts.load(), this.facts.limit()));
		}
		boolean success = response.status().code() / 100 == SUCCESS_CLASS;
		if (success && (!this.facts.signed() || this.facts.identifier().isEmpty())) {
			drop();
			end(new AttemptEnd.Unknown("a success without the target's signature"));
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
	public void body(ByteBuf bytes) {
		if (this.over) {
			return;
		}
		if (!this.streaming) {
			this.body.writeBytes(bytes);
			if (this.body.readableBytes() > MOST_ANSWER_BYTES) {
				drop();
				end(new AttemptEnd.Unknown("the answer is longer than " + MOST_ANSWER_BYTES + " bytes"));
			}
			return;
		}
		this.activity.progressed(this.start.target().name(), System.nanoTime());
		try {
			this.events.append(bytes, this::event);
		}
		catch (IllegalStateException ex) {
			drop();
			streamBroken(ex.getMessage());
			return;
		}
		this.exchange.flush();
	}

	private void event(ByteBuf event, OptionalLong number) {
		if (this.over) {
			event.release();
			return;
		}
		this.numbered &= number.isPresent();
		if (!this.answerBegun) {
			this.answerBegun = true;
			this.activity.begun(this.start.target().name(), System.nanoTime());
			this.exchange.beginStream(this.head, this.facts);
			this.control.post(new EntryEvent.AnswerBegun(this.start.number()));
		}
		this.exchange.event(event, number);
	}

	@Override
	public void end() {
		if (this.over) {
			return;
		}
		keep();
		int status = this.head.status().code();
		if (this.facts.otherTarget()) {
			end(new AttemptEnd.NotRun(NotRunCause.WRONG_TARGET, this.facts.retryAfter()));
		}
		else if (this.facts.notRun()) {
			end(new AttemptEnd.NotRun(NotRunCause.REFUSED, this.facts.retryAfter()));
		}
		else if (this.streaming) {
			endStream(status);
		}
		else if (status >= SERVER_ERROR && this.start.handling().holdFailures()) {
			this.exchange.holdFailure(this.head, this.body.retain());
			end(new AttemptEnd.Failed(status));
		}
		else if (this.exchange.streamBegun()) {
			end(new AttemptEnd.Broken("a resumed stream was answered with status " + status, true));
		}
		else {
			this.exchange.deliver(this.head, this.body.retain());
			end(new AttemptEnd.Delivered(status, Duration.ZERO));
		}
	}

	private void endStream(int status) {
		if (this.events.holdsPart()) {
			streamBroken("the stream ends within an event");
			return;
		}
		if (!this.answerBegun) {
			this.exchange.beginStream(this.head, this.facts);
		}
		this.exchange.endStream();
		end(new AttemptEnd.Delivered(status, this.exchange.longestPause()));
	}

	private void keep() {
		if (HttpUtil.isKeepAlive(this.head) && this.connection.isOpen()) {
			this.connection.pause(false);
			this.connections.giveBack(this.start.target(), this.connection, this.facts.idleTimeout().orElse(null));
		}
		else {
			this.connection.close();
		}
	}

	@Override
	public void broken(String cause) {
		if (this.over) {
			return;
		}
		if (this.head == null || !this.streaming) {
			end(this.exchange.streamBegun() ? new AttemptEnd.Broken(cause, true) : new AttemptEnd.Unknown(cause));
			return;
		}
		streamBroken(cause);
	}

	private void streamBroken(String cause) {
		boolean begun = this.exchange.streamBegun();
		end(begun ? new AttemptEnd.Broken(cause, this.numbered) : new AttemptEnd.Unknown(cause));
	}

	/**
	 * Cancels the attempt: the target drops its work when the connection closes.
	 */
	void cancel() {
		if (!this.over) {
			drop();
			over();
		}
	}

	void pause(boolean paused) {
		if (this.connection != null && !this.over) {
			this.connection.pause(paused);
		}
	}

	private void drop() {
		if (this.connection != null) {
			this.connection.close();
		}
	}

	private void end(AttemptEnd end) {
		if (this.over) {
			return;
		}
		over();
		this.control.post(new EntryEvent.AttemptEnded(this.start.number(), this.start.attempt(), end));
	}

	private void over() {
		this.over = true;
		if (this.watched) {
			this.activity.ended(this.start.target().name(), this.answerBegun, System.nanoTime());
		}
		if (this.body != null) {
			this.body.release();
		}
		if (this.events != null) {
			this.events.release();
		}
	}

}
