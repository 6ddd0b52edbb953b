package sycamorehill.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;

import sycamorehill.model.identity.NodeName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.peer.PeerMessageCodec.PeerHello;

/**
 * Handles the sending end of one connection: answers the challenge, authenticates each
 * frame and closes the connection if its messages are not acknowledged in time.
 */
final class DialledConnection extends ChannelDuplexHandler {

	private static final int IDLE_SECONDS = 60;

	private final PeerContext context;

	private final PeerLink link;

	private final NodeName recipient;

	private FrameAuthenticator authenticator;

	private long writtenMessages;

	private long acknowledgedMessages;

	private boolean acknowledgementCheckScheduled;

	private DialledConnection(PeerContext context, PeerLink link, NodeName recipient) {
		this.context = context;
		this.link = link;
		this.recipient = recipient;
	}

	static DialledConnection create(PeerContext context, PeerLink link, NodeName recipient) {
		return new DialledConnection(context, link, recipient);
	}

	ChannelInitializer<Channel> initializer() {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(PeerFrameDecoder.create(), new LengthFieldPrepender(PeerProtocol.LENGTH_BYTES),
							new IdleStateHandler(0, IDLE_SECONDS, 0), DialledConnection.this);
			}

		};
	}

	@Override
	public void channelActive(ChannelHandlerContext channel) {
		channel.executor().schedule(() -> {
			if (this.authenticator == null) {
				channel.close();
			}
		}, PeerProtocol.AUTHENTICATION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelRead(ChannelHandlerContext channel, Object message) throws JsonProcessingException {
		byte[] frame = ByteBufUtil.getBytes((ByteBuf) message);
		ReferenceCountUtil.release(message);
		if (this.authenticator == null && frame.length == PeerProtocol.NONCE_BYTES) {
			answerChallenge(channel, frame);
		}
		else if (this.authenticator != null && frame.length == Long.BYTES) {
			this.acknowledgedMessages = ByteBuffer.wrap(frame).getLong();
			this.link.handleAcknowledgement(channel.channel());
		}
		else {
			refuse(channel, "a frame of " + frame.length + " bytes");
		}
	}

	@Override
	public void write(ChannelHandlerContext channel, Object message, ChannelPromise promise) {
		if (!(message instanceof byte[] content)) {
			channel.write(message, promise);
			return;
		}
		this.writtenMessages++;
		scheduleAcknowledgementCheck(channel);
		channel.write(createFrame(channel, content), promise);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext channel, Object event) {
		if (event instanceof IdleStateEvent) {
			channel.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
		Throwable root = (cause.getCause() != null) ? cause.getCause() : cause;
		if (root instanceof IOException) {
			channel.close();
			return;
		}
		refuse(channel, root.toString());
	}

	private void answerChallenge(ChannelHandlerContext channel, byte[] nonce) throws JsonProcessingException {
		this.authenticator = FrameAuthenticator.create(this.context.secret(), nonce);
		PeerHello hello = new PeerHello(PeerProtocol.VERSION, this.context.self(), this.recipient);
		channel.writeAndFlush(createFrame(channel, this.context.codec().writeHello(hello)));
		this.link.handleConnectionOpened(channel.channel());
	}

	private ByteBuf createFrame(ChannelHandlerContext channel, byte[] content) {
		byte[] code = this.authenticator.nextCode(content);
		this.context.counters().recordSentFrame(PeerProtocol.LENGTH_BYTES + code.length + content.length);
		return channel.alloc().buffer(code.length + content.length).writeBytes(code).writeBytes(content);
	}

	private void scheduleAcknowledgementCheck(ChannelHandlerContext channel) {
		if (this.acknowledgementCheckScheduled) {
			return;
		}
		this.acknowledgementCheckScheduled = true;
		long expected = this.writtenMessages;
		channel.executor().schedule(() -> {
			this.acknowledgementCheckScheduled = false;
			if (this.acknowledgedMessages < expected) {
				channel.close();
			}
			else if (this.acknowledgedMessages < this.writtenMessages) {
				scheduleAcknowledgementCheck(channel);
			}
		}, PeerProtocol.ACKNOWLEDGE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void refuse(ChannelHandlerContext channel, String fault) {
		this.context.counters().recordRefusedConnection();
		this.context.log()
			.accept(LogLine.of(LogEvent.PEER_CONNECTION_REFUSED,
					"to=" + this.recipient + " address=" + channel.channel().remoteAddress() + " fault=" + fault));
		channel.close();
	}

}
