package sycamorehill.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.tinylog.Logger;

import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;

/**
 * Implements the transport over TCP with Netty. A connection carries messages in one
 * direction: each node opens a connection to every node that it sends to.
 */
public final class NettyPeerTransport implements PeerTransport {

	private static final int THREADS = 2;

	private static final int CONNECT_TIMEOUT_MILLIS = 2000;

	private static final int ACCEPTED_IDLE_SECONDS = 150;

	private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

	private final PeerContext context;

	private final EventLoopGroup eventLoopGroup;

	private final Bootstrap bootstrap;

	private final AtomicInteger unauthenticatedConnections = new AtomicInteger();

	private final Map<NodeName, PeerLink> links = new ConcurrentHashMap<>();

	private final Channel listener;

	private NettyPeerTransport(PeerContext context, EventLoopGroup eventLoopGroup, Address bind, int port) {
		this.context = context;
		this.eventLoopGroup = eventLoopGroup;
		this.bootstrap = new Bootstrap().channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true);
		this.listener = new ServerBootstrap().group(eventLoopGroup)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(acceptedConnectionInitializer())
			.bind(new InetSocketAddress(bind.host(), port))
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Creates a transport and starts listening.
	 * @param self the identity of this node
	 * @param bind the address to listen on
	 * @param sharedSecret the secret that only the nodes know
	 * @param events receives messages and send failures; called on the event loop threads
	 * and by senders, and must not block
	 * @return the transport
	 */
	public static NettyPeerTransport start(NodeIdentity self, Address bind, byte[] sharedSecret,
			Consumer<PeerEvent> events) {
		PeerContext context = new PeerContext(self, sharedSecret.clone(), PeerMessageCodec.standard(),
				PeerCounters.create(), events, NettyPeerTransport::writeLog);
		return start(context, bind, bind.port());
	}

	static NettyPeerTransport start(PeerContext context, Address bind, int port) {
		EventLoopGroup eventLoopGroup = new NioEventLoopGroup(THREADS, new DefaultThreadFactory("peer", true));
		try {
			return new NettyPeerTransport(context, eventLoopGroup, bind, port);
		}
		catch (RuntimeException ex) {
			eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
			throw ex;
		}
	}

	@Override
	public CompletableFuture<Void> send(NodeIdentity to, PeerMessage message) {
		return this.links.computeIfAbsent(to.incarnation().node(), (name) -> createLink(to)).send(to, message);
	}

	@Override
	public Address listenAddress() {
		InetSocketAddress local = (InetSocketAddress) this.listener.localAddress();
		return Address.of(local.getAddress().getHostAddress(), local.getPort());
	}

	/**
	 * Returns the counters of this transport.
	 * @return the live counters, not a copy
	 */
	public PeerCounters counters() {
		return this.context.counters();
	}

	@Override
	public void close() {
		this.listener.close();
		this.links.values().forEach(PeerLink::close);
		this.eventLoopGroup.shutdownGracefully(0, CLOSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

	private PeerLink createLink(NodeIdentity to) {
		EventLoop loop = this.eventLoopGroup.next();
		return PeerLink.create(this.context, loop, this.bootstrap, to);
	}

	private ChannelInitializer<Channel> acceptedConnectionInitializer() {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				PeerFrameDecoder decoder = PeerFrameDecoder.create();
				channel.pipeline()
					.addLast(decoder, new LengthFieldPrepender(PeerProtocol.LENGTH_BYTES),
							new IdleStateHandler(ACCEPTED_IDLE_SECONDS, 0, 0),
							AcceptedConnection.create(NettyPeerTransport.this.context, decoder,
									NettyPeerTransport.this.unauthenticatedConnections));
			}

		};
	}

	private static void writeLog(LogLine line) {
		Logger.warn("{} {}", line.event().code(), line.detail());
	}

}
