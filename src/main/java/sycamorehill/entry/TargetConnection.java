package sycamorehill.entry;

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

/**
 * One connection to a target or another HTTP server. Whatever arrives while no answer is
 * awaited belongs to no request: the connection is closed, so that it can't be taken for
 * the answer to the next one.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

	private ChannelHandlerContext context;

	private AnswerHandler answerHandler;

	private boolean interimResponse;

	private boolean answerStarted;

	@Override
	public void handlerAdded(ChannelHandlerContext addedContext) {
		this.context = addedContext;
	}

	void expectAnswer(AnswerHandler handler) {
		this.answerHandler = handler;
		this.answerStarted = false;
	}

	boolean isOpen() {
		return this.context.channel().isActive();
	}

	ChannelHandlerContext context() {
		return this.context;
	}

	/** Closes the connection; its reader hears nothing more. */
	void close() {
		this.answerHandler = null;
		this.context.close();
	}

	/**
	 * Closes the connection so that bytes on their way are lost. Behind a partition, an
	 * order that was given up would else arrive when it heals, seconds after newer ones.
	 */
	void reset() {
		this.context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		close();
	}

	void pause(boolean paused) {
		this.context.channel().config().setAutoRead(!paused);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (this.answerHandler == null) {
				ctx.close();
			}
			else if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
				fail("not an answer: " + object.decoderResult().cause().getMessage());
			}
			else {
				dispatch(message);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
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
		fail("connection closed");
		ctx.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		fail(String.valueOf(cause.getMessage()));
	}

	private void fail(String cause) {
		AnswerHandler handler = this.answerHandler;
		this.answerHandler = null;
		this.context.close();
		if (handler != null) {
			handler.handleFailure(cause);
		}
	}

}
