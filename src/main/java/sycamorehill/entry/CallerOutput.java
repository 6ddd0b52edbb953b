package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Writes the answers on a caller's connection, closes it behind the last one, and reports
 * those that are broken off.
 */
final class CallerOutput {

	/** Time that a caller has to read the last answer before the connection is closed. */
	private static final Duration LINGER_TIMEOUT = Duration.ofMillis(1000);

	private final CallerServer server;

	private final ChannelHandlerContext context;

	private final ConnectionTimer timer;

	private final RequestLimits limits;

	private final UnwrittenAnswers unwrittenAnswers;

	/** Answer to the request that is being served. */
	private UnwrittenAnswer answer;

	private boolean keepAlive;

	private boolean closing;

	private boolean cutByNode;

	private CallerOutput(CallerServer server, ChannelHandlerContext context, ConnectionTimer timer,
			RequestLimits limits) {
		this.server = server;
		this.context = context;
		this.timer = timer;
		this.limits = limits;
		this.unwrittenAnswers = UnwrittenAnswers.of(server.cutLog());
	}

	/**
	 * Creates the output of a connection.
	 * @param server server of the connection
	 * @param context context of the connection's handler
	 * @param timer the connection's timer
	 * @param limits limits of the connection's requests
	 * @return the output
	 */
	static CallerOutput of(CallerServer server, ChannelHandlerContext context, ConnectionTimer timer,
			RequestLimits limits) {
		return new CallerOutput(server, context, timer, limits);
	}

	/** Closes the connection if it stays idle. */
	void startIdleTimer() {
		this.timer.startIdle(this.limits.current().idleTimeout(), () -> cut(CutCause.IDLE_TIMER));
	}

	/**
	 * Begins the answer to a request that has been read.
	 * @param arrivedNanos time at which the request began to arrive
	 * @param callerKeepsAlive whether the caller wants to keep the connection
	 */
	void begin(long arrivedNanos, boolean callerKeepsAlive) {
		this.keepAlive = callerKeepsAlive;
		this.answer = this.unwrittenAnswers.begin(arrivedNanos);
	}

	/**
	 * Sets the identifier of the request that is answered.
	 * @param identifier the identifier
	 */
	void identify(String identifier) {
		this.answer.identify(identifier);
	}

	void write(Object message) {
		this.answer.countPart(message);
		if (message instanceof HttpResponse response) {
			askToClose(response.headers());
		}
		this.context.write(message, this.context.voidPromise());
	}

	void flush() {
		this.context.flush();
	}

	/**
	 * Returns whether the connection is kept behind the end of an answer.
	 * @param last the last message of the answer; asks the caller to close if it can
	 * @return whether it is kept
	 */
	boolean isKeptBehind(Object last) {
		if (last instanceof FullHttpResponse response) {
			askToClose(response.headers());
		}
		return this.keepAlive && !this.closing;
	}

	private void askToClose(HttpHeaders headers) {
		if (this.server.asksToClose()) {
			this.keepAlive = false;
		}
		if (!this.keepAlive) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	/**
	 * Writes the end of an answer on a connection that is kept.
	 * @param last the last message of the answer
	 */
	void finish(Object last) {
		UnwrittenAnswer finished = this.answer;
		finished.countPart(last);
		this.context.writeAndFlush(last).addListener((future) -> {
			if (future.isSuccess()) {
				this.unwrittenAnswers.markWritten(finished);
			}
			else {
				handleFailedWrite(future.cause());
			}
		});
	}

	/**
	 * Writes the end of an answer, and closes the connection.
	 * @param last the last message of the answer
	 */
	void finishAndClose(Object last) {
		this.answer.countPart(last);
		closeAfter(last);
	}

	/**
	 * Writes the last message, then shuts down only the output: closing a socket that has
	 * unread input resets the connection, and the caller would lose the answer.
	 * @param last the last message
	 */
	void closeAfter(Object last) {
		this.closing = true;
		this.context.channel().config().setAutoRead(true);
		ChannelFuture writing = this.context.writeAndFlush(last);
		startIdleTimer();
		writing.addListener((future) -> {
			if (future.isSuccess()) {
				closeWritten();
			}
			else {
				handleFailedWrite(future.cause());
			}
		});
	}

	private void closeWritten() {
		this.unwrittenAnswers.clear();
		if (this.context.channel() instanceof SocketChannel socket) {
			socket.shutdownOutput();
			this.timer.start(LINGER_TIMEOUT, this.context::close);
		}
		else {
			this.context.close();
		}
	}

	// Netty fails all waiting writes with an input or output error when the connection is
	// lost or closed.
	private void handleFailedWrite(Throwable cause) {
		if (cause instanceof IOException) {
			this.context.close();
			return;
		}
		this.server.logConnectionFailure(this.unwrittenAnswers.identifiers(), cause);
		cut(CutCause.WRITE_FAILED);
	}

	/**
	 * Closes the connection, which has failed.
	 * @param cause why it has failed
	 */
	void fail(Throwable cause) {
		this.server.logConnectionFailure(this.unwrittenAnswers.identifiers(), cause);
		if (cause instanceof IOException) {
			this.context.close();
			return;
		}
		cut((cause instanceof EncoderException) ? CutCause.WRITE_FAILED : CutCause.CONNECTION_FAILED);
	}

	/**
	 * Closes the connection, and reports the answers that are broken off by that.
	 * @param cause why it is closed
	 */
	void cut(CutCause cause) {
		this.cutByNode = true;
		this.unwrittenAnswers.reportCut(cause);
		close();
	}

	/** Closes the connection, on which nothing is left to write. */
	void close() {
		this.closing = true;
		this.context.close();
	}

	/**
	 * Closes the connection by a reset, which tells the caller that nothing was read and
	 * leaves nothing to wait for.
	 */
	void reset() {
		this.context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		close();
	}

	/** Reports the answers that the end of the process breaks off. */
	void reportUnfinished() {
		this.unwrittenAnswers.reportCut(CutCause.DRAIN_BOUND);
	}

	/** Forgets the answers of a connection that is closed. */
	void forgetAnswers() {
		this.unwrittenAnswers.clear();
	}

	/**
	 * Returns whether the socket has taken all answers.
	 * @return whether it has
	 */
	boolean isWritten() {
		return this.unwrittenAnswers.isEmpty();
	}

	/**
	 * Returns whether unsent bytes pile up.
	 * @return whether they do
	 */
	boolean isFull() {
		return !this.context.channel().isWritable();
	}

	/**
	 * Returns whether no further request is read.
	 * @return whether it is so
	 */
	boolean isClosing() {
		return this.closing;
	}

	/**
	 * Returns whether the node has broken the connection off.
	 * @return whether it has
	 */
	boolean isCutByNode() {
		return this.cutByNode;
	}

}
