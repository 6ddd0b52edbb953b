package sycamorehill.entry;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.ConnectionUse;

/**
 * Connection to a target or another HTTP server, which carries one request at a time. It
 * alone decides which bytes are the whole answer to that request, and whether another
 * request may follow. A target may answer twice, the second time late: an answer is
 * recognized by the identifier of its request, which a connection carries only once, and
 * a late one to an earlier request is skipped.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

	private final long number;

	private final StrictResponseDecoder decoder;

	private final UnmatchedAnswers unmatchedAnswers;

	private final CarriedRequests carried = CarriedRequests.create();

	private TargetName target;

	private ChannelHandlerContext context;

	private long requests;

	private ChannelFuture sending;

	/** What the last request on the connection waits or waited for; null before it. */
	private ExpectedAnswer expected;

	private AnswerPhase phase = AnswerPhase.IDLE;

	private boolean interimResponse;

	private AnswerBytes answerBytes = AnswerBytes.create();

	private HttpResponse head;

	/** Whether something arrived that belongs to no request that waited. */
	private boolean unmatched;

	/** Whether bytes have arrived while no request waited. */
	private boolean unexpectedBytes;

	/** Second answer that can't be true beside the answer; null if there is none. */
	private HttpResponse contradiction;

	private TargetConnection(long number, StrictResponseDecoder decoder, UnmatchedAnswers unmatchedAnswers) {
		this.number = number;
		this.decoder = decoder;
		this.unmatchedAnswers = unmatchedAnswers;
	}

	static TargetConnection of(long number, StrictResponseDecoder decoder, UnmatchedAnswers unmatchedAnswers) {
		return new TargetConnection(number, decoder, unmatchedAnswers);
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

	/**
	 * Returns whether a request may be sent on the connection. A second answer to a
	 * request that it carried could not be told from the answer to another one with the
	 * same identifier.
	 * @param identifier identifier of the request
	 * @return whether it may be sent
	 */
	boolean mayCarry(String identifier) {
		return !this.carried.mayContain(identifier);
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param answer the answer that it waits for
	 * @return the end of the sending
	 */
	ChannelFuture send(FullHttpRequest request, ExpectedAnswer answer) {
		this.requests++;
		this.expected = answer;
		this.decoder.expectHeadOnly(HttpMethod.HEAD.equals(request.method()));
		this.phase = AnswerPhase.AWAITING_HEAD;
		this.answerBytes = AnswerBytes.create();
		this.head = null;
		this.sending = this.context.writeAndFlush(request);
		return this.sending;
	}

	/**
	 * Admits bytes that have arrived. Too many that bring nothing of the answer end it
	 * and close the connection, as does any byte while no request waits.
	 * @param bytes number of bytes that have arrived
	 * @return false if they are too many
	 */
	boolean admitBytes(int bytes) {
		if (this.phase == AnswerPhase.IDLE || this.phase == AnswerPhase.COMPLETE) {
			this.unexpectedBytes |= this.phase == AnswerPhase.IDLE;
			return true;
		}
		this.answerBytes.addReceived(bytes);
		if (this.answerBytes.exceedsHeadLimit()) {
			handleInvalidAnswer("no head of an answer within " + AnswerBytes.MAXIMUM_BEFORE_HEAD + " bytes");
		}
		else if (this.answerBytes.exceedsFramingLimit()) {
			handleInvalidAnswer("a body of many tiny chunks");
		}
		return this.phase != AnswerPhase.IDLE;
	}

	boolean isOpen() {
		return this.context.channel().isActive();
	}

	/**
	 * Returns whether another request may be sent on the connection, whose answer is
	 * complete. An answer that came before its request was sent whole, without the
	 * request's identifier, or with anything behind it makes the next one uncertain.
	 * @return whether one may be sent
	 */
	boolean isReusable() {
		return isOpen() && !this.unmatched && HttpUtil.isKeepAlive(this.head) && this.sending.isDone()
				&& (this.expected.identifier().isEmpty() || readIdentifier(this.head).isPresent());
	}

	ChannelHandlerContext context() {
		return this.context;
	}

	/** Closes the connection without notifying the receiver of its answer. */
	void close() {
		this.phase = AnswerPhase.IDLE;
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

	/**
	 * Pauses or resumes reading. A connection on which no request waits goes on reading,
	 * or the next request on it would wait for good.
	 * @param paused whether to pause
	 */
	void pause(boolean paused) {
		this.context.channel().config().setAutoRead(!paused || this.phase == AnswerPhase.IDLE);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (this.phase == AnswerPhase.IDLE) {
				handleUnexpected(message);
			}
			else if (this.phase == AnswerPhase.COMPLETE) {
				handleBehindAnswer(message);
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
		if (isOpen() && this.expected != null) {
			recordUnmatched(message, false);
		}
		this.context.close();
	}

	private void handleBehindAnswer(Object message) {
		recordUnmatched(message, false);
		if (isContradiction(message)) {
			this.contradiction = (HttpResponse) message;
		}
	}

	// Once for a connection: a target may send many answers before the awaited one.
	private void recordUnmatched(Object message, boolean waiting) {
		if (!this.unmatched) {
			this.unmatched = true;
			this.unmatchedAnswers.record(this.target, use(), message, this.expected, waiting);
		}
	}

	private boolean isContradiction(Object message) {
		return message instanceof HttpResponse second && second.decoderResult().isSuccess()
				&& readIdentifier(second).equals(this.expected.identifier())
				&& this.expected.handler().isContradictedBy(second);
	}

	private void dispatch(Object message) {
		if (message instanceof HttpResponse response && JoinedHeads.isJoined(response)) {
			handleInvalidAnswer("two heads run into one");
		}
		else if (message instanceof HttpResponse response) {
			this.interimResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
					&& !isSwitch(response);
			if (!this.interimResponse) {
				handleHead(response);
			}
		}
		if (message instanceof HttpContent content && !this.interimResponse) {
			handleContent(content);
		}
	}

	private void handleHead(HttpResponse response) {
		if (isSwitch(response)) {
			handleInvalidAnswer("another protocol, which was not asked for");
		}
		else if (isOwn(response)) {
			this.phase = AnswerPhase.READING;
			this.answerBytes.completeHead();
			this.head = response;
			this.expected.handler().handleHead(response);
		}
		else {
			handleOther(response);
		}
	}

	private static boolean isSwitch(HttpResponse response) {
		return response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
	}

	// Without an identifier, only the first answer on a connection is certain: it can't
	// be a second one to an earlier request.
	private boolean isOwn(HttpResponse response) {
		Optional<String> identifier = readIdentifier(response);
		return this.expected.identifier().isEmpty() || identifier.equals(this.expected.identifier())
				|| (identifier.isEmpty() && this.requests == 1);
	}

	private Optional<String> readIdentifier(HttpResponse response) {
		return this.expected.identifierReader().apply(response);
	}

	private void handleOther(HttpResponse response) {
		recordUnmatched(response, true);
		if (readIdentifier(response).filter(this.carried::mayContain).isPresent()
				&& this.decoder.hasCertainEnd(response)) {
			this.phase = AnswerPhase.SKIPPING;
		}
		else {
			handleInvalidAnswer("an answer to another request");
		}
	}

	private void handleContent(HttpContent content) {
		this.answerBytes.addContained(content.content().readableBytes());
		if (this.phase == AnswerPhase.READING && content.content().isReadable()) {
			this.expected.handler().handleBody(content.content());
		}
		if (content instanceof LastHttpContent) {
			handleLastContent();
		}
	}

	private void handleLastContent() {
		if (this.phase == AnswerPhase.READING) {
			this.phase = AnswerPhase.COMPLETE;
		}
		else if (this.phase == AnswerPhase.SKIPPING) {
			this.phase = AnswerPhase.AWAITING_HEAD;
		}
	}

	/** Ends an answer when all bytes that arrived with its end have been looked at. */
	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.unexpectedBytes) {
			handleUnexpected(Unpooled.EMPTY_BUFFER);
		}
		if (this.phase == AnswerPhase.COMPLETE && this.decoder.hasPartialInput()) {
			recordUnmatched(Unpooled.EMPTY_BUFFER, false);
		}
		if (this.phase == AnswerPhase.SKIPPING) {
			handleInvalidAnswer("a late answer to an earlier request that doesn't end");
		}
		completeAnswer();
		ctx.fireChannelReadComplete();
	}

	private void completeAnswer() {
		if (this.phase != AnswerPhase.COMPLETE) {
			return;
		}
		if (this.contradiction != null) {
			handleInvalidAnswer("answered " + this.head.status().code() + " and " + this.contradiction.status().code());
			return;
		}
		this.phase = AnswerPhase.IDLE;
		this.expected.identifier().ifPresent(this.carried::add);
		this.expected.handler().handleEnd();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		completeAnswer();
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
		boolean waiting = this.phase != AnswerPhase.IDLE;
		close();
		if (waiting) {
			notification.accept(this.expected.handler());
		}
	}

}
