package sycamorehill.peer;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.peer.PeerMessageCodec.PeerHello;

/**
 * Handles the receiving end of one connection: sends a challenge, verifies each frame and
 * delivers the messages as events. An invalid frame closes this connection and leaves all
 * others open.
 */
final class AcceptedConnection extends SimpleChannelInboundHandler<ByteBuf> {

	private static final SecureRandom RANDOM = new SecureRandom();

	private final PeerContext context;

	private final PeerFrameDecoder decoder;

	private final AtomicInteger unauthenticatedConnections;

	private FrameAuthenticator authenticator;

	private NodeIdentity sender;

	private long receivedMessages;

	private boolean acknowledgementScheduled;

	private boolean closed;

	private AcceptedConnection(PeerContext context, PeerFrameDecoder decoder,
			AtomicInteger unauthenticatedConnections) {
		this.context = context;
		this.decoder = decoder;
		this.unauthenticatedConnections = unauthenticatedConnections;
	}

	static AcceptedConnection create(PeerContext context, PeerFrameDecoder decoder,
			AtomicInteger unauthenticatedConnections) {
		return new AcceptedConnection(context, decoder, unauthenticatedConnections);
	}

	@Override
	public void channelActive(ChannelHandlerContext channel) {
		if (this.unauthenticatedConnections.incrementAndGet() > PeerProtocol.MAXIMUM_UNAUTHENTICATED_CONNECTIONS) {
			refuse(channel, "too many connections that have not proven themselves");
			return;
		}
		byte[] nonce = new byte[PeerProtocol.NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		this.authenticator = FrameAuthenticator.create(this.context.secret(), nonce);
		channel.writeAndFlush(channel.alloc().buffer().writeBytes(nonce));
		channel.executor()
			.schedule(() -> closeIfUnauthenticated(channel), PeerProtocol.AUTHENTICATION_TIMEOUT.toMillis(),
					TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelInactive(ChannelHandlerContext channel) {
		if (this.sender == null) {
			this.unauthenticatedConnections.decrementAndGet();
		}
		this.closed = true;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext channel, ByteBuf buffer) {
		if (this.closed) {
			return;
		}
		byte[] frame = ByteBufUtil.getBytes(buffer);
		if (!this.authenticator.isNextFrameValid(frame)) {
			refuse(channel, "a wrong message authentication code");
			return;
		}
		this.context.counters().recordReceivedFrame(frame.length + PeerProtocol.LENGTH_BYTES);
		try {
			if (this.sender == null) {
				readHello(channel, frame);
			}
			else {
				readMessage(channel, frame);
			}
		}
		catch (IOException | RuntimeException ex) {
			refuse(channel, "a frame that can't be read: " + ex.getClass().getSimpleName());
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

	@Override
	public void userEventTriggered(ChannelHandlerContext channel, Object event) {
		if (event instanceof IdleStateEvent) {
			channel.close();
		}
	}

	private void readHello(ChannelHandlerContext channel, byte[] frame) throws IOException {
		PeerHello hello = this.context.codec().readHello(frame, FrameAuthenticator.CODE_BYTES);
		if (hello.version() < PeerProtocol.MINIMUM_VERSION) {
			refuse(channel, "protocol version " + hello.version());
			return;
		}
		if (!this.context.self().incarnation().node().equals(hello.recipient())) {
			refuse(channel, "it means the node " + hello.recipient());
			return;
		}
		if (hello.sender() == null) {
			refuse(channel, "no sender");
			return;
		}
		this.sender = hello.sender();
		this.unauthenticatedConnections.decrementAndGet();
		this.decoder.markAuthenticated();
	}

	private void readMessage(ChannelHandlerContext channel, byte[] frame) throws IOException {
		Optional<PeerMessage> message = this.context.codec().read(frame, FrameAuthenticator.CODE_BYTES);
		this.receivedMessages++;
		scheduleAcknowledgement(channel);
		if (message.isEmpty()) {
			this.context.counters().recordUnknownType();
			return;
		}
		this.context.events().accept(new PeerEvent.MessageReceived(this.sender, message.get()));
	}

	private void scheduleAcknowledgement(ChannelHandlerContext channel) {
		if (this.acknowledgementScheduled) {
			return;
		}
		this.acknowledgementScheduled = true;
		channel.executor().schedule(() -> {
			this.acknowledgementScheduled = false;
			channel.writeAndFlush(channel.alloc().buffer().writeLong(this.receivedMessages));
		}, PeerProtocol.ACKNOWLEDGE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void closeIfUnauthenticated(ChannelHandlerContext channel) {
		if (this.sender == null && !this.closed) {
			refuse(channel, "no proof within " + PeerProtocol.AUTHENTICATION_TIMEOUT);
		}
	}

	private void refuse(ChannelHandlerContext channel, String fault) {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.context.counters().recordRefusedConnection();
		String from = (this.sender != null) ? this.sender.incarnation().toString() : "a stranger";
		this.context.log()
			.accept(LogLine.of(LogEvent.PEER_CONNECTION_REFUSED,
					"from=" + from + " address=" + channel.channel().remoteAddress() + " fault=" + fault));
		channel.close();
	}

}
