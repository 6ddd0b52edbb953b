package sycamorehill.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import sycamorehill.model.serving.CallerLimits;

/**
 * Connection of a caller. Reads one request after another within the configured limits
 * and writes the answers. A request is forwarded to a target only after it has been read
 * completely. A caller that closes its output has left, because that can't be told from a
 * close.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** Time that a caller has to read the last answer before the connection is closed. */
	private static final Duration LINGER_TIMEOUT = Duration.ofMillis(1000);

	private static final int INITIAL_BODY_BYTES = 256;

	/** Time after which a caller may retry that is refused for lack of memory. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final CallerServer server;

	private CallerLimits limits;

	private final WaitingMessages waitingMessages;

	private final UnwrittenAnswers unwrittenAnswers;

	private ChannelHandlerContext context;

	private ConnectionTimer timer;

	private HttpRequest request;

	private ByteBuf body;

	private long arrivedNanos;

	private boolean readStarted;

	private CallerExchange exchange;

	/** Answer to the request that is being served. */
	private UnwrittenAnswer answer;

	private boolean keepAlive;

	private boolean closing;

	private boolean cutByNode;

	private CallerConnection(CallerServer server, CallerLimits limits) {
		this.server = server;
		this.limits = limits;
		this.unwrittenAnswers = UnwrittenAnswers.of(server.cutLog());
		this.waitingMessages = WaitingMessages.of(server);
	}

	static CallerConnection of(CallerServer server, CallerLimits limits) {
		return new CallerConnection(server, limits);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext addedContext) {
		this.context = addedContext;
		this.timer = ConnectionTimer.of(addedContext.channel());
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (!this.server.addConnection(this)) {
			closeUnread(ctx);
			return;
		}
		awaitRequest();
		ctx.fireChannelActive();
	}

	// A reset tells the caller that nothing was read, and leaves nothing to wait for.
	private void closeUnread(ChannelHandlerContext ctx) {
		this.closing = true;
		ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		ctx.close();
	}

	/**
	 * Starts the timeout of the request head with the first bytes, before they are
	 * decoded.
	 */
	void handleFirstBytes() {
		if (!this.readStarted && this.exchange == null && !this.closing) {
			takeCurrentLimits();
			markReadStarted();
			this.timer.start(this.limits.headerTimeout(),
					() -> refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the head took too long"));
		}
	}

	// A caller may keep its connection over many configurations. Bytes of this request
	// that the replaced decoder holds go to the new one, but not lines that it has read:
	// a request that was begun behind another one has the limits of that one.
	private void takeCurrentLimits() {
		CallerLimits current = this.server.limits();
		if (current.maximumHeaderBytes() != this.limits.maximumHeaderBytes()) {
			if (this.context.pipeline().get(StrictRequestDecoder.class).hasBegunHead()) {
				return;
			}
			this.context.pipeline().replace(StrictRequestDecoder.class, null, StrictRequestDecoder.of(current));
		}
		this.limits = current;
	}

	private void markReadStarted() {
		this.readStarted = true;
		this.arrivedNanos = System.nanoTime();
		this.server.markBusy(this);
	}

	private void awaitRequest() {
		this.readStarted = false;
		this.server.markIdle(this);
		startIdleTimer();
	}

	private void startIdleTimer() {
		this.timer.startIdle(this.limits.idleTimeout(), () -> cut(CutCause.IDLE_TIMER));
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.closing) {
			this.waitingMessages.drop(message);
			return;
		}
		if (this.exchange != null) {
			if (this.waitingMessages.add(message)) {
				ctx.channel().config().setAutoRead(false);
			}
			return;
		}
		handleMessage(message);
	}

	private void handleMessage(Object message) {
		try {
			if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
				refuseMalformed(object.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest head) {
				startRequest(head);
			}
			if (message instanceof HttpContent content && this.request != null) {
				appendBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void startRequest(HttpRequest head) {
		if (!this.readStarted) {
			markReadStarted();
		}
		Optional<String> violation = RequestValidator.findViolation(head);
		if (violation.isPresent()) {
			refuse(HttpResponseStatus.BAD_REQUEST, violation.get());
			return;
		}
		if (HttpUtil.getContentLength(head, 0L) > this.limits.maximumBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
			return;
		}
		this.request = head;
		this.body = Unpooled.buffer(INITIAL_BODY_BYTES);
		this.timer.start(this.limits.idleTimeout(),
				() -> refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the body took too long"));
		if (HttpUtil.is100ContinueExpected(head)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void appendBody(HttpContent content) {
		if (this.body.readableBytes() + content.content().readableBytes() > this.limits.maximumBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
			return;
		}
		if (!this.server.reserveBody(content.content().readableBytes())) {
			refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the node holds too many bytes of bodies");
			return;
		}
		this.body.writeBytes(content.content());
		if (content instanceof LastHttpContent) {
			completeRequest();
		}
	}

	private void completeRequest() {
		this.timer.stop();
		HttpRequest completeRequest = this.request;
		ByteBuf completeBody = this.body;
		this.request = null;
		this.body = null;
		this.keepAlive = HttpUtil.isKeepAlive(completeRequest);
		this.answer = this.unwrittenAnswers.begin(this.arrivedNanos);
		try {
			this.exchange = this.server.acceptRequest(this, completeRequest, completeBody, this.arrivedNanos);
			this.answer.identify(this.exchange.identifier());
		}
		catch (Throwable ex) {
			// The request has not been passed on, and its body would count as held for
			// good.
			this.server.logFailedRequest(ex);
			this.body = completeBody;
			refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the node failed to handle the request");
		}
	}

	private void refuseMalformed(Throwable cause) {
		if (cause instanceof TooLongFrameException) {
			refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large");
		}
		else {
			refuse(HttpResponseStatus.BAD_REQUEST, "not a request: " + cause.getMessage());
		}
	}

	// Answers a request that was not read completely, and closes the connection.
	private void refuse(HttpResponseStatus status, String detail) {
		if (this.closing || this.exchange != null) {
			return;
		}
		this.timer.stop();
		this.server.logRefusal(status.code(), detail);
		releaseBody();
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.copiedBuffer(detail + "\n", StandardCharsets.UTF_8));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER.toSeconds());
		}
		closeAfter(response);
	}

	private void releaseBody() {
		this.request = null;
		if (this.body != null) {
			this.server.releaseBody(this.body.readableBytes());
			this.body.release();
			this.body = null;
		}
	}

	// Writes the last message, then shuts down only the output: closing a socket that has
	// unread input resets the connection, and the caller would lose the answer.
	private void closeAfter(Object last) {
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

	// Closes the connection, and reports the answers that are broken off by that.
	private void cut(CutCause cause) {
		this.closing = true;
		this.cutByNode = true;
		this.unwrittenAnswers.reportCut(cause);
		this.context.close();
	}

	/** Reports the answers that the end of the process breaks off. */
	void reportUnfinished() {
		this.unwrittenAnswers.reportCut(CutCause.DRAIN_BOUND);
	}

	void write(Object message) {
		this.answer.countPart(message);
		if (message instanceof HttpResponse response) {
			askToClose(response.headers());
		}
		this.context.write(message, this.context.voidPromise());
		if (!this.context.channel().isWritable() && this.exchange != null) {
			this.exchange.pause(true);
		}
	}

	void flush() {
		this.context.flush();
	}

	/**
	 * Writes the end of an answer and starts to read the next request.
	 * @param last the last message of the answer
	 */
	void finish(Object last) {
		if (last instanceof FullHttpResponse response) {
			askToClose(response.headers());
		}
		this.exchange = null;
		UnwrittenAnswer finished = this.answer;
		finished.countPart(last);
		if (!this.keepAlive || this.closing) {
			this.waitingMessages.dropReported();
			closeAfter(last);
			return;
		}
		this.context.writeAndFlush(last).addListener((future) -> {
			if (future.isSuccess()) {
				this.unwrittenAnswers.markWritten(finished);
			}
			else {
				handleFailedWrite(future.cause());
			}
		});
		awaitRequest();
		processWaitingMessages();
	}

	private void askToClose(HttpHeaders headers) {
		if (this.server.asksToClose()) {
			this.keepAlive = false;
		}
		if (!this.keepAlive) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void processWaitingMessages() {
		List<Object> messages = this.waitingMessages.takeAll();
		this.context.channel().config().setAutoRead(true);
		for (Object message : messages) {
			channelRead(this.context, message);
		}
	}

	void removeExchange(CallerExchange finished) {
		this.server.removeExchange(finished);
	}

	void abort() {
		this.exchange = null;
		cut(CutCause.GAVE_UP);
	}

	/**
	 * Closes the connection if it carries no request and all answers are written.
	 * @return whether it was closed
	 */
	boolean closeIfIdle() {
		boolean idle = this.exchange == null && this.request == null && !this.readStarted
				&& this.unwrittenAnswers.isEmpty();
		if (idle) {
			this.closing = true;
			this.context.close();
		}
		return idle;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.exchange != null) {
			this.exchange.pause(!ctx.channel().isWritable());
		}
		ctx.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.timer.stop();
		releaseBody();
		this.waitingMessages.release();
		this.unwrittenAnswers.clear();
		this.server.removeConnection(this);
		if (this.exchange != null) {
			CallerExchange abandoned = this.exchange;
			this.exchange = null;
			abandoned.handleDisconnected(this.cutByNode, this.server.eventSink());
		}
		ctx.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		this.server.logConnectionFailure(this.unwrittenAnswers.identifiers(), cause);
		if (cause instanceof IOException) {
			ctx.close();
			return;
		}
		cut((cause instanceof EncoderException) ? CutCause.WRITE_FAILED : CutCause.CONNECTION_FAILED);
	}

}
