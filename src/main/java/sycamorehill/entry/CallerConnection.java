package sycamorehill.entry;

import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
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

	private final CallerServer server;

	private final RequestLimits limits;

	private final WaitingMessages waitingMessages;

	private ChannelHandlerContext context;

	private ConnectionTimer timer;

	private CallerOutput output;

	/** Request whose body arrives. */
	private IncomingRequest request;

	private long arrivedNanos;

	private boolean readStarted;

	/** Whether the request that arrives is known to be one for a head. */
	private boolean headOnly;

	private CallerExchange exchange;

	private CallerConnection(CallerServer server, CallerLimits limits) {
		this.server = server;
		this.limits = RequestLimits.of(server, limits);
		this.waitingMessages = WaitingMessages.of(server);
	}

	static CallerConnection of(CallerServer server, CallerLimits limits) {
		return new CallerConnection(server, limits);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext addedContext) {
		this.context = addedContext;
		this.timer = ConnectionTimer.of(addedContext.channel());
		this.output = CallerOutput.of(this.server, addedContext, this.timer, this.limits);
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (!this.server.addConnection(this)) {
			this.output.reset();
			return;
		}
		awaitRequest();
		ctx.fireChannelActive();
	}

	/**
	 * Starts the timeout of the request head with the first bytes, before they are
	 * decoded.
	 */
	void handleFirstBytes() {
		if (!this.readStarted && this.exchange == null && !this.output.isClosing()) {
			this.limits.takeConfigured(this.context.pipeline());
			markReadStarted();
			this.timer.start(this.limits.current().headerTimeout(), () -> refuse(Refusal.SLOW_HEAD));
		}
	}

	private void markReadStarted() {
		this.readStarted = true;
		this.arrivedNanos = System.nanoTime();
		this.server.markBusy(this);
	}

	private void awaitRequest() {
		this.readStarted = false;
		this.headOnly = false;
		this.server.markIdle(this);
		this.output.startIdleTimer();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.output.isClosing()) {
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
			if (message instanceof HttpRequest head) {
				this.headOnly = HttpMethod.HEAD.equals(head.method());
			}
			if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
				refuse(Refusal.ofMalformed(object.decoderResult().cause()));
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
		Optional<Refusal> refusal = IncomingRequest.findRefusal(head, this.limits.current());
		if (refusal.isPresent()) {
			refuse(refusal.get());
			return;
		}
		this.request = IncomingRequest.of(this.server, head, this.limits.current());
		this.timer.start(this.limits.current().idleTimeout(), () -> refuse(Refusal.SLOW_BODY));
		if (HttpUtil.is100ContinueExpected(head)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void appendBody(HttpContent content) {
		Optional<Refusal> refusal = this.request.append(content.content());
		if (refusal.isPresent()) {
			refuse(refusal.get());
		}
		else if (content instanceof LastHttpContent) {
			completeRequest();
		}
	}

	private void completeRequest() {
		this.timer.stop();
		IncomingRequest complete = this.request;
		this.request = null;
		this.output.begin(this.arrivedNanos, HttpUtil.isKeepAlive(complete.head()));
		try {
			this.exchange = this.server.acceptRequest(this, complete.head(), complete.body(), this.arrivedNanos);
			this.output.identify(this.exchange.identifier());
		}
		catch (Throwable ex) {
			// The request has not been passed on, and its body would count as held for
			// good.
			this.server.logFailedRequest(ex);
			this.request = complete;
			refuse(Refusal.FAILED);
		}
	}

	// Answers a request that was not read completely, and closes the connection.
	private void refuse(Refusal refusal) {
		if (this.output.isClosing() || this.exchange != null) {
			return;
		}
		this.timer.stop();
		this.server.logRefusal(refusal.status().code(), refusal.detail());
		releaseRequest();
		this.output.closeAfter(refusal.toAnswer(this.headOnly));
	}

	private void releaseRequest() {
		if (this.request != null) {
			this.request.release();
			this.request = null;
		}
	}

	/** Reports the answers that the end of the process breaks off. */
	void reportUnfinished() {
		this.output.reportUnfinished();
	}

	void write(Object message) {
		this.output.write(message);
		if (this.output.isFull() && this.exchange != null) {
			this.exchange.pause(true);
		}
	}

	void flush() {
		this.output.flush();
	}

	/**
	 * Writes the end of an answer and starts to read the next request.
	 * @param last the last message of the answer
	 */
	void finish(Object last) {
		boolean kept = this.output.isKeptBehind(last);
		this.exchange = null;
		if (!kept) {
			this.waitingMessages.dropReported();
			this.output.finishAndClose(last);
			return;
		}
		this.output.finish(last);
		awaitRequest();
		processWaitingMessages();
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
		this.output.cut(CutCause.GAVE_UP);
	}

	/**
	 * Closes the connection if it carries no request and all answers are written.
	 * @return whether it was closed
	 */
	boolean closeIfIdle() {
		boolean idle = this.exchange == null && this.request == null && !this.readStarted && this.output.isWritten();
		if (idle) {
			this.output.close();
		}
		return idle;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.exchange != null) {
			this.exchange.pause(this.output.isFull());
		}
		ctx.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.timer.stop();
		releaseRequest();
		this.waitingMessages.release();
		this.output.forgetAnswers();
		this.server.removeConnection(this);
		if (this.exchange != null) {
			CallerExchange abandoned = this.exchange;
			this.exchange = null;
			abandoned.handleDisconnected(this.output.isCutByNode(), this.server.eventSink());
		}
		ctx.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		this.output.fail(cause);
	}

}
