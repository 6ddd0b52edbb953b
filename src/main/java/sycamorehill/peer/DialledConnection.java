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
 * The sending end of one connection: answers the challenge, authenticates each frame and
 * gives the connection up when its frames are not acknowledged.
 */
final class DialledConnection extends ChannelDuplexHandler {

	private static final int IDLE_SECONDS = 60;

	private final PeerContext context;

	private final PeerLink link;

	private final NodeName recipient;

	private FrameAuthenticator authenticator;

	private long written;

	private long acknowledged;

	private boolean watching;

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
		}, PeerProtocol.STRANGER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelRead(ChannelHandlerContext channel, Object message) throws JsonProcessingException {
		byte[] frame = ByteBufUtil.getBytes((ByteBuf) message);
		ReferenceCountUtil.release(message);
		if (this.authenticator == null && frame.length == PeerProtocol.NONCE_BYTES) {
			answer(channel, frame);
		}
		else if (this.authenticator != null && frame.length == Long.BYTES) {
			this.acknowledged = ByteBuffer.wrap(frame).getLong();
			this.link.acknowledged(channel.channel());
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
		this.written++;
		watchAcknowledgement(channel);
		channel.write(frame(channel, content), promise);
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

	private void answer(ChannelHandlerContext channel, byte[] nonce) throws JsonProcessingException {
		this.authenticator = FrameAuthenticator.create(this.context.secret(), nonce);
		PeerHello hello = new PeerHello(PeerProtocol.VERSION, this.context.self(), this.recipient);
		channel.writeAndFlush(frame(channel, this.context.codec().writeHello(hello)));
		this.link.opened(channel.channel());
	}

	private ByteBuf frame(ChannelHandlerContext channel, byte[] content) {
		byte[] code = this.authenticator.nextCode(content);
		this.context.counters().sent(PeerProtocol.LENGTH_BYTES + code.length + content.length);
		return channel.alloc().buffer(code.length + content.length).writeBytes(code).writeBytes(content);
	}

	private void watchAcknowledgement(ChannelHandlerContext channel) {
		if (this.watching) {
			return;
		}
		this.watching = true;
		long expected = this.written;
		channel.executor().schedule(() -> {
			this.watching = false;
			if (this.acknowledged < expected) {
				channel.close();
			}
			else if (this.acknowledged < this.written) {
				watchAcknowledgement(channel);
			}
		}, PeerProtocol.ACKNOWLEDGE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void refuse(ChannelHandlerContext channel, String fault) {
		this.context.counters().refusedConnection();
		this.context.log()
			.accept(LogLine.of(LogEvent.PEER_CONNECTION_REFUSED,
					"to=" + this.recipient + " address=" + channel.channel().remoteAddress() + " fault=" + fault));
		channel.close();
	}

}
