package sycamorehill.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;

import sycamorehill.model.serving.TargetAddress;

/**
 * Pools connections to targets. A connection serves one request at a time. It is reused
 * only if its last answer ended cleanly and no byte followed.
 */
final class TargetConnectionPool {

	/**
	 * Fraction of the idle timeout of the target after which a connection is not reused:
	 * the target may be closing it, and the outcome of a request that is in transit at
	 * that moment is unknown.
	 */
	private static final double IDLE_TIMEOUT_FRACTION = 0.5;

	/** Idle timeout of targets that don't report one. */
	private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(2);

	/** Number of idle connections kept for one target; only bursts need more. */
	private static final int MAXIMUM_IDLE_CONNECTIONS = 12;

	private static final int MINIMUM_READ_BYTES = 64;

	private static final int INITIAL_READ_BYTES = 2048;

	/**
	 * Bytes of one read, and reads of a connection in one pass of the event loop: what
	 * they bring is held even if the caller has stopped reading.
	 */
	private static final int MAXIMUM_READ_BYTES = 16 * 1024;

	private static final int READS_PER_PASS = 4;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final ConnectTimeout connectTimeout = ConnectTimeout.create();

	private final AnswerMemory answerMemory = AnswerMemory.create();

	private final UnmatchedAnswers unmatchedAnswers = UnmatchedAnswers.create();

	private long connections;

	private final Map<TargetAddress, Deque<IdleConnection>> idleConnections = new HashMap<>();

	private TargetConnectionPool(EventLoop loop) {
		this.loop = loop;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
						.maxMessagesPerRead(READS_PER_PASS))
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					StrictResponseDecoder decoder = StrictResponseDecoder.create();
					TargetConnection connection = createConnection(decoder);
					channel.pipeline()
						.addLast(AnswerHeadLimit.of(connection), decoder, new HttpRequestEncoder(), connection);
				}
			});
	}

	static TargetConnectionPool of(EventLoop loop) {
		return new TargetConnectionPool(loop);
	}

	private TargetConnection createConnection(StrictResponseDecoder decoder) {
		this.connections++;
		return TargetConnection.of(this.connections, decoder, this.unmatchedAnswers);
	}

	/**
	 * Returns what targets have sent that no request waited for.
	 * @return the record
	 */
	UnmatchedAnswers unmatchedAnswers() {
		return this.unmatchedAnswers;
	}

	/**
	 * Returns the memory of answers that are held until they are complete.
	 * @return the memory
	 */
	AnswerMemory answerMemory() {
		return this.answerMemory;
	}

	/**
	 * Returns an idle connection and removes it from the pool.
	 * @param target the target
	 * @param maximumIdle the longest time that it may have been idle
	 * @param identifier identifier of the request that is to be sent on it
	 * @return the connection, or null if there is none
	 */
	TargetConnection acquireIdle(TargetAddress target, Duration maximumIdle, String identifier) {
		Deque<IdleConnection> connections = this.idleConnections.get(target);
		if (connections == null) {
			return null;
		}
		long now = System.nanoTime();
		Iterator<IdleConnection> newestFirst = connections.descendingIterator();
		while (newestFirst.hasNext()) {
			IdleConnection idle = newestFirst.next();
			boolean usable = now - idle.sinceNanos < Math.min(idle.usableNanos, maximumIdle.toNanos())
					&& idle.connection.isOpen();
			if (!usable) {
				newestFirst.remove();
				idle.connection.close();
			}
			else if (idle.connection.mayCarry(identifier)) {
				newestFirst.remove();
				return idle.connection;
			}
		}
		return null;
	}

	ChannelFuture connect(TargetAddress target) {
		long startNanos = System.nanoTime();
		this.bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.connectTimeout.current().toMillis());
		ChannelFuture connecting = this.bootstrap
			.connect(new InetSocketAddress(target.address().host(), target.address().port()));
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				TargetConnection.of(connecting.channel()).assignTarget(target.name());
				this.connectTimeout.recordConnection(System.nanoTime() - startNanos);
			}
		});
		return connecting;
	}

	void release(TargetAddress target, TargetConnection connection, Duration idleTimeout) {
		Duration timeout = (idleTimeout != null) ? idleTimeout : DEFAULT_IDLE_TIMEOUT;
		Deque<IdleConnection> connections = this.idleConnections.computeIfAbsent(target, (key) -> new ArrayDeque<>());
		connections.addLast(
				new IdleConnection(connection, System.nanoTime(), (long) (timeout.toNanos() * IDLE_TIMEOUT_FRACTION)));
		if (connections.size() > MAXIMUM_IDLE_CONNECTIONS) {
			connections.removeFirst().connection.close();
		}
	}

	/** Closes connections that have been idle for too long. */
	void closeExpired() {
		long now = System.nanoTime();
		Iterator<Deque<IdleConnection>> targets = this.idleConnections.values().iterator();
		while (targets.hasNext()) {
			Deque<IdleConnection> connections = targets.next();
			connections.removeIf((each) -> {
				boolean expired = now - each.sinceNanos >= each.usableNanos || !each.connection.isOpen();
				if (expired) {
					each.connection.close();
				}
				return expired;
			});
			if (connections.isEmpty()) {
				targets.remove();
			}
		}
	}

	void closeIdle(TargetAddress target) {
		Deque<IdleConnection> connections = this.idleConnections.remove(target);
		if (connections != null) {
			connections.forEach((each) -> each.connection.close());
		}
	}

	EventLoop loop() {
		return this.loop;
	}

	/**
	 * Idle connection.
	 *
	 * @param connection the connection
	 * @param sinceNanos the time when its last answer ended
	 * @param usableNanos the time for which it may be reused
	 */
	private record IdleConnection(TargetConnection connection, long sinceNanos, long usableNanos) {
	}

}
