package sycamorehill.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;

import sycamorehill.model.serving.TargetAddress;

/**
 * Keeps connections to targets. One connection serves one request at a time; only a
 * connection whose last answer ended cleanly, with no byte after it, is used again.
 */
final class TargetConnections {

	/**
	 * Part of the target's idle timeout after which a connection isn't used again: the
	 * target's close may be under way, and a request that crosses it has no known
	 * outcome.
	 */
	private static final double IDLE_PART = 0.5;

	/** Idle timeout of targets that don't tell theirs. */
	private static final Duration UNTOLD_IDLE = Duration.ofSeconds(2);

	/** Idle connections kept to one target; more are needed only for bursts. */
	private static final int MOST_IDLE = 12;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final ConnectTimeout timeout = ConnectTimeout.create();

	private final Map<TargetAddress, Deque<Idle>> idle = new HashMap<>();

	private TargetConnections(EventLoop loop) {
		this.loop = loop;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(StrictResponseDecoder.create(), new HttpRequestEncoder(), new TargetConnection());
				}
			});
	}

	static TargetConnections of(EventLoop loop) {
		return new TargetConnections(loop);
	}

	/**
	 * Takes an idle connection.
	 * @param target the target
	 * @param longestIdle how long it may have been idle
	 * @return a connection, or null if there is none
	 */
	TargetConnection takeIdle(TargetAddress target, Duration longestIdle) {
		Deque<Idle> ofTarget = this.idle.get(target);
		if (ofTarget == null) {
			return null;
		}
		long now = System.nanoTime();
		while (!ofTarget.isEmpty()) {
			Idle last = ofTarget.removeLast();
			boolean young = now - last.sinceNanos < Math.min(last.usableNanos, longestIdle.toNanos());
			if (young && last.connection.isOpen()) {
				return last.connection;
			}
			last.connection.close();
		}
		return null;
	}

	ChannelFuture connect(TargetAddress target) {
		long begun = System.nanoTime();
		this.bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.timeout.present().toMillis());
		ChannelFuture connecting = this.bootstrap
			.connect(new InetSocketAddress(target.address().host(), target.address().port()));
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				this.timeout.connected(System.nanoTime() - begun);
			}
		});
		return connecting;
	}

	void giveBack(TargetAddress target, TargetConnection connection, Duration idleTimeout) {
		Duration told = (idleTimeout != null) ? idleTimeout : UNTOLD_IDLE;
		Deque<Idle> ofTarget = this.idle.computeIfAbsent(target, (key) -> new ArrayDeque<>());
		ofTarget.addLast(new Idle(connection, System.nanoTime(), (long) (told.toNanos() * IDLE_PART)));
		if (ofTarget.size() > MOST_IDLE) {
			ofTarget.removeFirst().connection.close();
		}
	}

	/** Closes connections that were idle for too long. */
	void sweep() {
		long now = System.nanoTime();
		Iterator<Deque<Idle>> targets = this.idle.values().iterator();
		while (targets.hasNext()) {
			Deque<Idle> ofTarget = targets.next();
			ofTarget.removeIf((each) -> {
				boolean over = now - each.sinceNanos >= each.usableNanos || !each.connection.isOpen();
				if (over) {
					each.connection.close();
				}
				return over;
			});
			if (ofTarget.isEmpty()) {
				targets.remove();
			}
		}
	}

	void forget(TargetAddress target) {
		Deque<Idle> ofTarget = this.idle.remove(target);
		if (ofTarget != null) {
			ofTarget.forEach((each) -> each.connection.close());
		}
	}

	EventLoop loop() {
		return this.loop;
	}

	/**
	 * An idle connection.
	 *
	 * @param connection the connection
	 * @param sinceNanos when its last answer ended
	 * @param usableNanos how long it may be used again
	 */
	private record Idle(TargetConnection connection, long sinceNanos, long usableNanos) {
	}

}
