package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;

/**
 * Second connection to a target beside an answer that ends with its connection, to
 * confirm that the process that sent the answer runs on. A process that crashes ends its
 * connections too, and another one may listen at its address since. It is the same
 * process if it reports the start that the directory names. If it reports none, it is the
 * same if it answers on a connection that it accepted so soon after the request, or so
 * long before the end of the answer, that it can't have replaced another one. What a
 * network partition held up arrives at once when the partition ends.
 */
final class TargetWitness implements AnswerHandler {

	private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(400);

	/** Shortest time in which a process ends and another one listens at its address. */
	private static final Duration MINIMUM_REPLACEMENT_TIME = Duration.ofMillis(300);

	private static final int MAXIMUM_REPORT_BYTES = 256 * 1024;

	private final EntryEffect.StartAttempt start;

	private final long sentNanos;

	private final TargetConnectionPool connectionPool;

	private final IncarnationCodec codec;

	private final EntryEventSink eventSink;

	private TargetConnection connection;

	private boolean connecting;

	private boolean closed;

	/** Whether the question is sent on the connection that was opened first. */
	private boolean first;

	private long connectedNanos;

	private long endNanos;

	private Consumer<Optional<String>> result;

	private ScheduledFuture<?> timer;

	private HttpResponse head;

	private final ByteBuf body = Unpooled.buffer();

	private TargetWitness(EntryEffect.StartAttempt start, long sentNanos, TargetConnectionPool connections,
			IncarnationCodec codec, EntryEventSink eventSink) {
		this.start = start;
		this.sentNanos = sentNanos;
		this.connectionPool = connections;
		this.codec = codec;
		this.eventSink = eventSink;
	}

	/**
	 * Connects a target.
	 * @param start the attempt whose answer ends with its connection
	 * @param sentNanos when its request was sent
	 * @param connections connects the target
	 * @param codec asks which process answers
	 * @param eventSink learns that the target was connected
	 * @return the connection
	 */
	static TargetWitness connect(EntryEffect.StartAttempt start, long sentNanos, TargetConnectionPool connections,
			IncarnationCodec codec, EntryEventSink eventSink) {
		TargetWitness witness = new TargetWitness(start, sentNanos, connections, codec, eventSink);
		witness.connect();
		return witness;
	}

	private void connect() {
		this.connecting = true;
		ChannelFuture future = this.connectionPool.connect(this.start.target());
		future.addListener((connected) -> {
			this.connecting = false;
			if (connected.isSuccess()) {
				handleConnected(TargetConnection.of(future.channel()));
			}
			else if (this.result != null) {
				conclude("the target can't be connected: " + connected.cause().getMessage());
			}
		});
	}

	private void handleConnected(TargetConnection newConnection) {
		this.connectedNanos = System.nanoTime();
		this.eventSink.post(new EntryEvent.TargetConnected(this.start.target().name()));
		if (this.closed) {
			this.connectionPool.release(this.start.target(), newConnection, null);
			return;
		}
		this.connection = newConnection;
		if (this.result != null) {
			ask();
		}
	}

	/**
	 * Finds out whether the process that sent the answer runs on, after the answer has
	 * ended.
	 * @param confirmed receives why that is not certain; empty if it is
	 */
	void confirm(Consumer<Optional<String>> confirmed) {
		this.result = confirmed;
		this.endNanos = System.nanoTime();
		this.timer = this.connectionPool.loop()
			.schedule(() -> conclude("the target doesn't answer in " + CONFIRMATION_TIMEOUT),
					CONFIRMATION_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
		if (this.connection != null && this.connection.isOpen()) {
			this.first = true;
			ask();
		}
		else if (!this.connecting) {
			connect();
		}
	}

	private void ask() {
		this.body.clear();
		this.connection.send(this.codec.question(this.start.target()), ExpectedAnswer.unidentified(this));
	}

	@Override
	public void handleHead(HttpResponse response) {
		this.head = response;
	}

	@Override
	public void handleBody(ByteBuf bytes) {
		if (this.body.readableBytes() + bytes.readableBytes() > MAXIMUM_REPORT_BYTES) {
			conclude("the target's report is longer than " + MAXIMUM_REPORT_BYTES + " bytes");
		}
		else {
			this.body.writeBytes(bytes);
		}
	}

	@Override
	public boolean isContradictedBy(HttpResponse second) {
		return second.status().code() != this.head.status().code();
	}

	@Override
	public void handleEnd() {
		if (this.connection.isReusable()) {
			this.connectionPool.release(this.start.target(), this.connection, null);
			this.connection = null;
		}
		if (this.head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
			conclude("another target has its address");
		}
		else if (isSameProcess()) {
			finish(Optional.empty());
		}
		else {
			conclude("another process may have its address");
		}
	}

	private boolean isSameProcess() {
		OptionalLong reported = this.codec.readStartMillis(ByteBufUtil.getBytes(this.body));
		if (reported.isPresent() && this.start.startMillis() != 0) {
			return reported.getAsLong() == this.start.startMillis();
		}
		return this.connectedNanos - this.sentNanos < MINIMUM_REPLACEMENT_TIME.toNanos()
				|| this.endNanos - this.connectedNanos >= MINIMUM_REPLACEMENT_TIME.toNanos();
	}

	// The target closes idle connections, so that the end of an older one shows nothing.
	@Override
	public void handleConnectionLost(String cause) {
		if (this.first) {
			this.first = false;
			connect();
		}
		else {
			conclude(cause);
		}
	}

	@Override
	public void handleInvalidAnswer(String cause) {
		conclude(cause);
	}

	private void conclude(String cause) {
		finish(Optional.of("the end of the answer is not confirmed: " + cause));
	}

	private void finish(Optional<String> cause) {
		if (!this.closed) {
			close();
			this.result.accept(cause);
		}
	}

	/** Closes the connection, or leaves it to the next request if nothing was asked. */
	void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.body.release();
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		if (this.connection != null && this.result == null && this.connection.isOpen()) {
			this.connectionPool.release(this.start.target(), this.connection, null);
		}
		else if (this.connection != null) {
			this.connection.close();
		}
	}

}
