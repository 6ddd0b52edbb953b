package sycamorehill.entry;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Connection between two nodes that carries one request at a time as frames. Either end
 * uses it.
 */
final class ProxyChannel extends SimpleChannelInboundHandler<ByteBuf> {

	private static final int LENGTH_BYTES = 4;

	private final ProxyFrameCodec codec;

	private ChannelHandlerContext context;

	private Listener listener;

	private ProxyChannel(ProxyFrameCodec codec) {
		this.codec = codec;
	}

	static ProxyChannel of(ProxyFrameCodec codec) {
		return new ProxyChannel(codec);
	}

	/**
	 * Returns an initializer that adds a new connection to each channel.
	 * @param codec encodes the frames
	 * @param setup called with each new connection
	 * @return the initializer
	 */
	static ChannelInitializer<Channel> initializer(ProxyFrameCodec codec, Setup setup) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				ProxyChannel connection = ProxyChannel.of(codec);
				channel.pipeline()
					.addLast(new LengthFieldBasedFrameDecoder(ProxyFrameCodec.MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0,
							LENGTH_BYTES), new LengthFieldPrepender(LENGTH_BYTES), connection);
				setup.accept(channel, connection);
			}

		};
	}

	@Override
	public void handlerAdded(ChannelHandlerContext addedContext) {
		this.context = addedContext;
	}

	/**
	 * Sets the receiver of frames.
	 * @param newListener the receiver; null for none, so that any frame closes the
	 * connection
	 */
	void listen(Listener newListener) {
		this.listener = newListener;
	}

	boolean isOpen() {
		return this.context.channel().isActive();
	}

	boolean isWritable() {
		return this.context.channel().isWritable();
	}

	long unsentBytes() {
		return UnsentOutput.bytes(this.context.channel());
	}

	/**
	 * Pauses or resumes reading. A connection without a receiver goes on reading, or the
	 * next request on it would wait for good.
	 * @param paused whether to pause
	 */
	void pause(boolean paused) {
		this.context.channel().config().setAutoRead(!paused || this.listener == null);
	}

	/** Closes the connection without notifying the receiver. */
	void close() {
		this.listener = null;
		this.context.close();
	}

	/**
	 * Closes the connection with a TCP reset, which discards bytes in transit. Otherwise
	 * a request that was given up during a network partition would reach the other node
	 * when the partition ends.
	 */
	void reset() {
		if (isOpen()) {
			this.context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		}
		close();
	}

	/** Closes the connection after the frames sent so far, without reading any more. */
	void closeAfterSending() {
		this.listener = null;
		this.context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((sent) -> this.context.close());
	}

	void write(ProxyFrame frame) {
		try {
			this.context.write(Unpooled.wrappedBuffer(this.codec.write(frame))).addListener((written) -> {
				if (!written.isSuccess()) {
					fail("write failed: " + written.cause().getMessage(), !(written.cause() instanceof IOException));
				}
			});
		}
		catch (IOException ex) {
			fail("a frame can't be encoded: " + ex.getMessage(), true);
		}
	}

	void flush() {
		this.context.flush();
	}

	void send(ProxyFrame frame) {
		write(frame);
		flush();
	}

	/**
	 * Sends a body in parts, which are written and not flushed.
	 * @param body the body; it is not released
	 */
	void writeBody(ByteBuf body) {
		while (body.isReadable()) {
			byte[] part = new byte[Math.min(body.readableBytes(), ProxyFrameCodec.BODY_PART_BYTES)];
			body.readBytes(part);
			write(new ProxyFrame.Body(part));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
		if (this.listener == null) {
			closeUnexpected();
			return;
		}
		try {
			this.listener.handleFrame(ProxyFrameCodec.read(ByteBufUtil.getBytes(bytes)));
		}
		catch (IOException | RuntimeException ex) {
			failUnreadable(ex);
		}
	}

	// Frames that were in transit when this side closed the connection are not reported.
	private void closeUnexpected() {
		if (isOpen()) {
			EventLog.write(LogLine.of(LogEvent.NODE_MESSAGE_UNREADABLE, "frame from="
					+ this.context.channel().remoteAddress() + " cause='no request waits on the connection'"));
			this.context.close();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.listener != null) {
			this.listener.handleWritability(ctx.channel().isWritable());
		}
		ctx.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		fail("connection closed", false);
		ctx.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof DecoderException) {
			failUnreadable(cause);
		}
		else {
			fail(String.valueOf(cause.getMessage()), !(cause instanceof IOException));
		}
	}

	private void failUnreadable(Throwable cause) {
		EventLog.write(LogLine.of(LogEvent.NODE_MESSAGE_UNREADABLE,
				"frame from=" + this.context.channel().remoteAddress() + " cause='" + cause + "'"));
		fail("not a frame: " + cause, true);
	}

	private void fail(String cause, boolean closedHere) {
		Listener notified = this.listener;
		close();
		if (notified != null) {
			notified.handleClosed(cause, closedHere);
		}
	}

	/**
	 * Receives the frames of a connection.
	 */
	interface Listener {

		/**
		 * Handles a frame.
		 * @param frame the frame
		 */
		void handleFrame(ProxyFrame frame);

		/**
		 * Handles the end of the connection.
		 * @param cause the description of the failure
		 * @param closedHere whether this end closed it, rather than the other end or the
		 * network
		 */
		void handleClosed(String cause, boolean closedHere);

		/**
		 * Handles a change of the room for unsent bytes.
		 * @param writable whether there is room
		 */
		default void handleWritability(boolean writable) {
		}

	}

	/**
	 * Prepares a new connection.
	 */
	interface Setup {

		/**
		 * Prepares a connection.
		 * @param channel its channel
		 * @param connection the connection
		 */
		void accept(Channel channel, ProxyChannel connection);

	}

}
