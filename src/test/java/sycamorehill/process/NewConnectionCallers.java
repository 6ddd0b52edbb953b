package sycamorehill.process;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;

import sycamorehill.model.identity.Address;

/**
 * Callers that open a new connection for each request, as often as a test says. A request
 * whose connection is refused or closed unread is sent again to another node.
 */
final class NewConnectionCallers implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final String END = "\r\n0\r\n\r\n";

	private final NioEventLoopGroup loops = new NioEventLoopGroup(2);

	private final Bootstrap bootstrap;

	private final List<Address> nodes;

	private final int events;

	/** Connections that callers keep after their answers. */
	private final boolean keepsConnections;

	private final AtomicLong identifiers = new AtomicLong();

	private volatile Counts counts = new Counts();

	private volatile boolean ended;

	private NewConnectionCallers(List<Address> nodes, int events, boolean keepsConnections) {
		this.nodes = nodes;
		this.events = events;
		this.keepsConnections = keepsConnections;
		this.bootstrap = new Bootstrap().group(this.loops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					// Each call adds its own handler.
				}
			});
	}

	static NewConnectionCallers of(List<Address> nodes, int events, boolean keepsConnections) {
		return new NewConnectionCallers(nodes, events, keepsConnections);
	}

	/**
	 * Starts to send requests to one node first.
	 * @param node the node's place
	 * @param perSecond requests a second
	 */
	void start(int node, double perSecond) {
		if (this.ended) {
			return;
		}
		long nanos = (long) (-Math.log(1 - ThreadLocalRandom.current().nextDouble()) * 1e9 / perSecond);
		this.loops.next().schedule(() -> {
			send(node, this.counts);
			start(node, perSecond);
		}, nanos, TimeUnit.NANOSECONDS);
	}

	void stop() {
		this.ended = true;
	}

	/**
	 * Counts the requests that are sent from now on.
	 * @return their counts, which still change
	 */
	Counts count() {
		this.counts = new Counts();
		return this.counts;
	}

	private void send(int node, Counts own) {
		Address address = this.nodes.get(node);
		own.sent.incrementAndGet();
		this.bootstrap.connect(new InetSocketAddress(address.host(), address.port())).addListener((future) -> {
			if (!future.isSuccess()) {
				handleUnread(node, own);
				return;
			}
			Channel channel = ((ChannelFuture) future).channel();
			channel.pipeline().addLast(new Call(node, own));
			String request = StreamCaller.request("n" + this.identifiers.incrementAndGet(), this.events);
			channel.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
		});
	}

	private void handleUnread(int node, Counts own) {
		own.unread.incrementAndGet();
		if (!this.ended) {
			int other = (node + 1 + ThreadLocalRandom.current().nextInt(this.nodes.size() - 1)) % this.nodes.size();
			this.loops.next().schedule(() -> send(other, own), 100, TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void close() {
		this.ended = true;
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * What callers saw.
	 */
	static final class Counts {

		private final AtomicInteger sent = new AtomicInteger();

		private final AtomicInteger unread = new AtomicInteger();

		private final AtomicInteger read = new AtomicInteger();

		private final AtomicInteger served = new AtomicInteger();

		private final AtomicInteger inTime = new AtomicInteger();

		private final AtomicInteger failed = new AtomicInteger();

		int read() {
			return this.read.get();
		}

		/** Share of the tries that a node has read which were served whole. */
		double servedShare() {
			return (double) this.served.get() / Math.max(1, this.read.get());
		}

		@Override
		public String toString() {
			return "sent=" + this.sent + " unread=" + this.unread + " read=" + this.read + " served=" + this.served
					+ " first-event-in-time=" + this.inTime + " failed=" + this.failed;
		}

	}

	/**
	 * One request on its connection.
	 */
	private final class Call extends ChannelInboundHandlerAdapter {

		private static final long IN_TIME_NANOS = 300_000_000;

		private static final long DEADLINE_NANOS = 6_000_000_000L;

		private final int node;

		private final Counts own;

		private final long startNanos = System.nanoTime();

		private final StringBuilder text = new StringBuilder();

		private boolean done;

		private boolean started;

		private Call(int node, Counts own) {
			this.node = node;
			this.own = own;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			String bytes = ((ByteBuf) message).toString(StandardCharsets.ISO_8859_1);
			ReferenceCountUtil.release(message);
			if (!this.started) {
				this.started = true;
				this.own.read.incrementAndGet();
				if (bytes.startsWith("HTTP/1.1 200") && System.nanoTime() - this.startNanos < IN_TIME_NANOS) {
					this.own.inTime.incrementAndGet();
				}
				this.text.append(bytes, 0, Math.min(12, bytes.length()));
			}
			boolean whole = bytes.endsWith(END) || (bytes.endsWith("0\r\n\r\n"));
			if (whole || !this.text.toString().endsWith("200")) {
				end(context, whole && System.nanoTime() - this.startNanos < DEADLINE_NANOS);
			}
		}

		private void end(ChannelHandlerContext context, boolean served) {
			if (!this.done) {
				this.done = true;
				(served ? this.own.served : this.own.failed).incrementAndGet();
				if (!served || !NewConnectionCallers.this.keepsConnections) {
					context.close();
				}
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!this.done && !this.started) {
				this.done = true;
				handleUnread(this.node, this.own);
			}
			end(context, false);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
