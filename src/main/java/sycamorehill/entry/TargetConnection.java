package sycamorehill.entry;

import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.ConnectionUse;

/**
 * Connection to a target or another HTTP server. Data that arrives while no answer is
 * expected belongs to no request. The connection is then closed, so that the data can't
 * be mistaken for the answer to the next request.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Maximum number of bytes before the head of an answer is complete: room for a head
	 * of the largest size and some interim answers.
	 */
	private static final int MAXIMUM_BYTES_BEFORE_HEAD = 256 * 1024;

	private final long number;

	private final UnmatchedAnswers unmatchedAnswers;

	private TargetName target;

	private ChannelHandlerContext context;

	private long requests;

	/** What the last request on the connection waits or waited for; null before it. */
	private ExpectedAnswer lastExpected;

	private AnswerHandler answerHandler;

	private boolean interimResponse;

	private boolean answerStarted;

	private int bytesBeforeHead;

	private TargetConnection(long number, UnmatchedAnswers unmatchedAnswers) {
		this.number = number;
		this.unmatchedAnswers = unmatchedAnswers;
	}

	static TargetConnection of(long number, UnmatchedAnswers unmatchedAnswers) {
		return new TargetConnection(number, unmatchedAnswers);
	}

	/**
	 * Returns the connection of a channel.
	 * @param channel the channel
	 * @return the connection
	 */
	static TargetConnection of(Channel channel) {
		return channel.pipeline().get(TargetConnection.class);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext addedContext) {
		this.context = addedContext;
	}

	void assignTarget(TargetName connected) {
		this.target = connected;
	}

	/**
	 * Returns the last use of the connection.
	 * @return the use
	 */
	ConnectionUse use() {
		return new ConnectionUse(this.number, this.requests);
	}

	void expectAnswer(ExpectedAnswer expected) {
		this.requests++;
		this.lastExpected = expected;
		this.answerHandler = expected.handler();
		this.answerStarted = false;
		this.bytesBeforeHead = 0;
	}

	/**
	 * Counts received bytes while the head of an answer is awaited. Too many end the
	 * answer and close the connection.
	 * @param bytes number of bytes that have arrived
	 * @return false if they are too many
	 */
	boolean admitBytes(int bytes) {
		if (this.answerStarted) {
			return true;
		}
		this.bytesBeforeHead += bytes;
		if (this.bytesBeforeHead <= MAXIMUM_BYTES_BEFORE_HEAD) {
			return true;
		}
		handleInvalidAnswer("no head of an answer within " + MAXIMUM_BYTES_BEFORE_HEAD + " bytes");
		return false;
	}

	boolean isOpen() {
		return this.context.channel().isActive();
	}

	ChannelHandlerContext context() {
		return this.context;
	}

	/** Closes the connection without notifying its handler. */
	void close() {
		this.answerHandler = null;
		this.context.close();
	}

	/**
	 * Closes the connection with a TCP reset, which discards bytes in transit. Otherwise
	 * a command or a request that was given up during a network partition would arrive
	 * when the partition ends, seconds after newer ones.
	 */
	void reset() {
		if (isOpen()) {
			this.context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		}
		close();
	}

	void pause(boolean paused) {
		this.context.channel().config().setAutoRead(!paused);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (this.answerHandler == null) {
				handleUnexpected(message);
			}
			else if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
				handleInvalidAnswer("not an answer: " + object.decoderResult().cause().getMessage());
			}
			else {
				dispatch(message);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	// Bytes that were in transit when this side closed the connection are not recorded.
	private void handleUnexpected(Object message) {
		if (isOpen() && this.lastExpected != null) {
			this.unmatchedAnswers.record(this.target, use(), message, this.lastExpected, false);
		}
		this.context.close();
	}

	/**
	 * Records a head that doesn't answer the request that waits.
	 * @param head the head
	 */
	void recordUnmatched(HttpResponse head) {
		this.unmatchedAnswers.record(this.target, use(), head, this.lastExpected, true);
	}

	private void dispatch(Object message) {
		if (message instanceof HttpResponse response) {
			this.interimResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
					&& response.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
			if (!this.interimResponse) {
				this.answerStarted = true;
				this.answerHandler.handleHead(response);
			}
		}
		if (message instanceof HttpContent content && !this.interimResponse && this.answerHandler != null
				&& this.answerStarted) {
			if (content.content().isReadable()) {
				this.answerHandler.handleBody(content.content());
			}
			if (message instanceof LastHttpContent && this.answerHandler != null) {
				AnswerHandler handler = this.answerHandler;
				this.answerHandler = null;
				handler.handleEnd();
			}
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		handleLost("connection closed");
		ctx.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		handleLost(String.valueOf(cause.getMessage()));
	}

	private void handleLost(String cause) {
		fail((handler) -> handler.handleConnectionLost(cause));
	}

	private void handleInvalidAnswer(String cause) {
		fail((handler) -> handler.handleInvalidAnswer(cause));
	}

	private void fail(Consumer<AnswerHandler> notification) {
		AnswerHandler handler = this.answerHandler;
		this.answerHandler = null;
		this.context.close();
		if (handler != null) {
			notification.accept(handler);
		}
	}

}
