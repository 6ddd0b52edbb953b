package sycamorehill.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import sycamorehill.model.identity.Address;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.runtime.EventLog;

/**
 * Sends and receives messages between entry nodes as datagrams. Datagrams need no
 * connection, which could fail without notice, and the senders repeat the information
 * that must not be lost.
 */
final class NodeMessenger {

	/** Maximum size of a received datagram in bytes; larger than any that nodes send. */
	private static final int RECEIVE_BUFFER_BYTES = 2048;

	private final EventLoop loop;

	private final EntryEventSink eventSink;

	private final NodeMessageCodec codec = NodeMessageCodec.create();

	private final DatagramAssembler assembler = DatagramAssembler.create();

	/**
	 * Starts at a random number, so that parts of messages of an earlier process are not
	 * joined with new ones.
	 */
	private long lastMessageNumber = ThreadLocalRandom.current().nextLong();

	private Channel channel;

	private NodeMessenger(EventLoop loop, EntryEventSink eventSink) {
		this.loop = loop;
		this.eventSink = eventSink;
	}

	static NodeMessenger of(EventLoop loop, EntryEventSink eventSink) {
		return new NodeMessenger(loop, eventSink);
	}

	void start(Address address) throws InterruptedException {
		this.channel = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RCVBUF_ALLOCATOR,
					new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES).maxMessagesPerRead(1))
			.handler(new DatagramHandler())
			.bind(address.host(), address.port())
			.sync()
			.channel();
	}

	void send(List<Address> nodes, NodeMessage message) {
		try {
			byte[] bytes = this.codec.write(message);
			if (bytes.length <= DatagramSplitter.MAXIMUM_PART_BYTES * DatagramSplitter.MAXIMUM_PARTS) {
				this.loop.execute(() -> send(nodes, bytes));
			}
			else {
				handleTooLargeMessage(nodes, message, bytes.length);
			}
		}
		catch (IOException ex) {
			EventLog.failure(LogEvent.EFFECT_FAILED, "sending a message to " + nodes, ex);
		}
	}

	private void handleTooLargeMessage(List<Address> nodes, NodeMessage message, int bytes) {
		EventLog.write(LogLine.of(LogEvent.PEER_MESSAGE_TOO_LARGE,
				"message=" + message.getClass().getSimpleName() + " bytes=" + bytes));
		if (message instanceof NodeMessage.StoreUpdate update && !update.changes().isEmpty()) {
			send(nodes, update.withoutChanges());
		}
	}

	private void send(List<Address> nodes, byte[] message) {
		this.lastMessageNumber++;
		List<byte[]> datagrams = DatagramSplitter.split(message, this.lastMessageNumber);
		for (Address node : nodes) {
			InetSocketAddress receiver = new InetSocketAddress(node.host(), node.port());
			datagrams.forEach((datagram) -> this.channel
				.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), receiver), this.channel.voidPromise()));
		}
		this.channel.flush();
	}

	private void handleDatagram(InetSocketAddress sender, byte[] datagram) {
		try {
			Optional<byte[]> message = this.assembler.add(sender, datagram, System.nanoTime());
			if (message.isPresent()) {
				this.eventSink.post(new EntryEvent.MessageReceived(this.codec.read(message.get())));
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			EventLog.write(LogLine.of(LogEvent.NODE_MESSAGE_UNREADABLE,
					"sender=" + sender + " bytes=" + datagram.length + " cause='" + ex.getMessage() + "'"));
		}
	}

	/**
	 * Receives datagrams.
	 */
	private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
			byte[] bytes = new byte[packet.content().readableBytes()];
			packet.content().readBytes(bytes);
			handleDatagram(packet.sender(), bytes);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			EventLog.failure(LogEvent.NODE_MESSAGE_UNREADABLE, "the socket for messages between nodes", cause);
		}

	}

}
