package sycamorehill.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

import sycamorehill.model.identity.Address;

/**
 * Pools connections to nodes through which requests are sent.
 */
final class ProxyConnectionPool {

	/**
	 * Time after which an idle connection is not reused; shorter than the time after
	 * which the other end closes it.
	 */
	private static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(3);

	/** Number of idle connections kept for one node. */
	private static final int MAXIMUM_IDLE_CONNECTIONS = 32;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final ConnectTimeout connectTimeout = ConnectTimeout.create();

	private final Map<Address, Deque<IdleConnection>> idleConnections = new HashMap<>();

	private ProxyConnectionPool(EventLoop loop) {
		this.loop = loop;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(ProxyChannel.initializer(ProxyFrameCodec.create(), (channel, connection) -> {
			}));
	}

	static ProxyConnectionPool of(EventLoop loop) {
		return new ProxyConnectionPool(loop);
	}

	/**
	 * Returns an idle connection and removes it from the pool.
	 * @param node address of the node
	 * @return the connection, or null if there is none
	 */
	ProxyChannel acquireIdle(Address node) {
		Deque<IdleConnection> connections = this.idleConnections.getOrDefault(node, new ArrayDeque<>());
		while (!connections.isEmpty()) {
			IdleConnection last = connections.removeLast();
			if (last.isUsable(System.nanoTime())) {
				return last.connection;
			}
			last.connection.close();
		}
		return null;
	}

	ChannelFuture connect(Address node) {
		long startNanos = System.nanoTime();
		this.bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.connectTimeout.current().toMillis());
		ChannelFuture connecting = this.bootstrap.connect(new InetSocketAddress(node.host(), node.port()));
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				this.connectTimeout.recordConnection(System.nanoTime() - startNanos);
			}
		});
		return connecting;
	}

	void release(Address node, ProxyChannel connection) {
		connection.listen(null);
		connection.pause(false);
		Deque<IdleConnection> connections = this.idleConnections.computeIfAbsent(node, (key) -> new ArrayDeque<>());
		connections.addLast(new IdleConnection(connection, System.nanoTime()));
		if (connections.size() > MAXIMUM_IDLE_CONNECTIONS) {
			connections.removeFirst().connection.close();
		}
	}

	/**
	 * Closes the idle connections to a node, because another one has become silent.
	 * @param node address of the node
	 */
	void closeIdle(Address node) {
		Deque<IdleConnection> connections = this.idleConnections.remove(node);
		if (connections != null) {
			connections.forEach((idle) -> idle.connection.close());
		}
	}

	/** Closes connections that have been idle for too long. */
	void closeExpired() {
		long now = System.nanoTime();
		this.idleConnections.values().forEach((connections) -> connections.removeIf((idle) -> {
			boolean expired = !idle.isUsable(now);
			if (expired) {
				idle.connection.close();
			}
			return expired;
		}));
		this.idleConnections.values().removeIf(Deque::isEmpty);
	}

	EventLoop loop() {
		return this.loop;
	}

	/**
	 * Idle connection.
	 *
	 * @param connection the connection
	 * @param sinceNanos the time when its last request ended
	 */
	private record IdleConnection(ProxyChannel connection, long sinceNanos) {

		boolean isUsable(long nowNanos) {
			return nowNanos - this.sinceNanos < MAXIMUM_IDLE_TIME.toNanos() && this.connection.isOpen();
		}

	}

}
