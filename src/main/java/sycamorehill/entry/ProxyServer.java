package sycamorehill.entry;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import sycamorehill.model.identity.Address;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Accepts requests that other nodes send through this one. Bounds what they take from
 * this node's own callers.
 */
final class ProxyServer {

	/** Maximum number of requests of other nodes. */
	private static final int MAXIMUM_REQUESTS = 256;

	/** Maximum total size of the bodies of these requests. */
	private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

	/** Maximum number of connections; each node keeps some idle ones. */
	private static final int MAXIMUM_CONNECTIONS = 1024;

	/**
	 * Unsent bytes of an answer to a slow node at which reading from the target pauses.
	 */
	private static final int MAXIMUM_UNSENT_BYTES = 32 * 1024;

	private final EventLoop loop;

	private final ExchangeRegistry exchanges;

	private final EntryEventSink eventSink;

	private final Predicate<String> isNodeHost;

	private final AnswerCutLog cutLog;

	private final Set<ProxyServerConnection> connections = new HashSet<>();

	private boolean unfinishedReported;

	private int requests;

	private int bodyBytes;

	private ProxyServer(EventLoop loop, ExchangeRegistry exchanges, EntryEventSink eventSink,
			Predicate<String> isNodeHost, AnswerCutLog cutLog) {
		this.loop = loop;
		this.exchanges = exchanges;
		this.eventSink = eventSink;
		this.isNodeHost = isNodeHost;
		this.cutLog = cutLog;
	}

	/**
	 * Creates a server.
	 * @param loop the event loop of the node
	 * @param exchanges registers the requests
	 * @param eventSink receives the requests
	 * @param isNodeHost tells whether a host is that of a known node
	 * @param cutLog records the answers that are broken off
	 * @return the server
	 */
	static ProxyServer of(EventLoop loop, ExchangeRegistry exchanges, EntryEventSink eventSink,
			Predicate<String> isNodeHost, AnswerCutLog cutLog) {
		return new ProxyServer(loop, exchanges, eventSink, isNodeHost, cutLog);
	}

	void start(Address address) throws InterruptedException {
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(MAXIMUM_UNSENT_BYTES / 2, MAXIMUM_UNSENT_BYTES))
			.childHandler(ProxyChannel.initializer(ProxyFrameCodec.create(), this::accept))
			.bind(address.host(), address.port())
			.sync();
	}

	private void accept(Channel channel, ProxyChannel connection) {
		String host = ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
		if (!this.isNodeHost.test(host) || this.connections.size() >= MAXIMUM_CONNECTIONS) {
			EventLog.write(
					LogLine.of(LogEvent.PEER_CONNECTION_REFUSED, "address=" + channel.remoteAddress() + " connections="
							+ this.connections.size() + " fault='not a known node, or too many connections'"));
			channel.close();
			return;
		}
		ProxyServerConnection accepted = ProxyServerConnection.of(this, connection);
		connection.listen(accepted);
		this.connections.add(accepted);
		channel.closeFuture().addListener((closed) -> this.connections.remove(accepted));
	}

	/**
	 * Admits a request within the bounds.
	 * @param received the request
	 * @param connection its connection
	 * @return the request; empty if there are too many
	 */
	Optional<ProxiedExchange> admit(ProxyFrame.Request received, ProxyChannel connection) {
		if (this.requests >= MAXIMUM_REQUESTS || received.bodyBytes() > MAXIMUM_BODY_BYTES - this.bodyBytes) {
			return Optional.empty();
		}
		this.requests++;
		this.bodyBytes += received.bodyBytes();
		return Optional.of(ProxiedExchange.of(this.exchanges.nextNumber(), received, connection, this::release));
	}

	private void release(ProxiedExchange ended) {
		this.requests--;
		this.bodyBytes -= ended.received().bodyBytes();
		this.exchanges.remove(ended);
	}

	ExchangeRegistry exchanges() {
		return this.exchanges;
	}

	AnswerCutLog cutLog() {
		return this.cutLog;
	}

	EntryEventSink eventSink() {
		return this.eventSink;
	}

	/**
	 * Returns whether other nodes lack answers, or bytes of them.
	 * @return true if they do
	 */
	boolean hasRequests() {
		return this.requests > 0 || this.connections.stream().anyMatch(ProxyServerConnection::hasUnsentBytes);
	}

	/** Reports once the answers that the end of the process breaks off. */
	void reportUnfinished() {
		if (!this.unfinishedReported) {
			this.unfinishedReported = true;
			this.connections.forEach(ProxyServerConnection::reportUnfinished);
		}
	}

	/** Closes connections that have been idle for too long. */
	void closeExpired() {
		long now = System.nanoTime();
		List.copyOf(this.connections).forEach((connection) -> connection.closeIfExpired(now));
	}

}
