package sycamorehill.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;

/**
 * Messages to one node: connects when there is something to send, keeps the connection,
 * and waits longer after each failure. Everything but {@link #send} runs on one event
 * loop.
 */
final class PeerLink {

	/** Messages to one node that have not been written yet. */
	static final int MOST_PENDING_MESSAGES = 1024;

	/** Their bytes once encoded. */
	static final int MOST_PENDING_BYTES = 2 * PeerProtocol.LARGEST_FRAME;

	private static final Duration SHORTEST_BACKOFF = Duration.ofMillis(100);

	private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(5);

	private static final int MOST_DOUBLINGS = 6;

	private final PeerContext context;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final AtomicInteger pendingMessages = new AtomicInteger();

	private final Deque<Pending> waiting = new ArrayDeque<>();

	private volatile NodeIdentity peer;

	private Channel channel;

	private boolean open;

	private boolean proven;

	private int pendingBytes;

	private int failures;

	private long notBeforeNanos;

	private PeerLink(PeerContext context, EventLoop loop, Bootstrap bootstrap, NodeIdentity peer) {
		this.context = context;
		this.loop = loop;
		this.bootstrap = bootstrap;
		this.peer = peer;
		this.notBeforeNanos = System.nanoTime();
	}

	static PeerLink create(PeerContext context, EventLoop loop, Bootstrap bootstrap, NodeIdentity peer) {
		return new PeerLink(context, loop, bootstrap, peer);
	}

	CompletableFuture<Void> send(NodeIdentity to, PeerMessage message) {
		Pending pending = new Pending(message, new CompletableFuture<>());
		if (this.pendingMessages.incrementAndGet() > MOST_PENDING_MESSAGES) {
			fail(pending, "too many messages wait for the node");
			return pending.done;
		}
		try {
			this.loop.execute(() -> accept(to, pending));
		}
		catch (RejectedExecutionException ex) {
			fail(pending, "the transport is closed");
		}
		return pending.done;
	}

	void close() {
		this.loop.execute(() -> {
			if (this.channel != null) {
				this.channel.close();
			}
			failWaiting("the transport is closed");
		});
	}

	private void accept(NodeIdentity to, Pending pending) {
		follow(to);
		byte[] content = encode(pending);
		if (content == null) {
			return;
		}
		if (this.pendingBytes + content.length > MOST_PENDING_BYTES) {
			fail(pending, "too many bytes wait for the node");
			return;
		}
		pending.content = content;
		this.pendingBytes += content.length;
		if (this.open) {
			write(pending);
			return;
		}
		this.waiting.add(pending);
		connect();
	}

	// A restarted node may listen elsewhere; its new address shows in its identity.
	private void follow(NodeIdentity to) {
		boolean moved = !to.peerAddress().equals(this.peer.peerAddress());
		this.peer = to;
		if (moved) {
			// The old connection is let go of before it is closed, or its end would count
			// as a
			// failure of the new address.
			Channel old = this.channel;
			this.channel = null;
			this.open = false;
			this.failures = 0;
			this.notBeforeNanos = System.nanoTime();
			if (old != null) {
				old.close();
			}
		}
	}

	private byte[] encode(Pending pending) {
		try {
			byte[] content = this.context.codec().write(pending.message);
			if (content.length + FrameAuthenticator.CODE_BYTES > PeerProtocol.LARGEST_FRAME) {
				this.context.log()
					.accept(LogLine.of(LogEvent.PEER_MESSAGE_TOO_LARGE, "to=" + this.peer.incarnation() + " type="
							+ pending.message.getClass().getSimpleName() + " bytes=" + content.length));
				fail(pending, "the message has " + content.length + " bytes");
				return null;
			}
			return content;
		}
		catch (JsonProcessingException | RuntimeException ex) {
			fail(pending, ex.toString());
			return null;
		}
	}

	private void connect() {
		if (this.channel != null) {
			return;
		}
		if (System.nanoTime() - this.notBeforeNanos < 0) {
			failWaiting("the node could not be reached a moment ago");
			return;
		}
		Address address = this.peer.peerAddress();
		DialledConnection connection = DialledConnection.create(this.context, this, this.peer.incarnation().node());
		ChannelFuture connecting = this.bootstrap.clone(this.loop)
			.handler(connection.initializer())
			.connect(new InetSocketAddress(address.host(), address.port()));
		Channel dialled = connecting.channel();
		this.channel = dialled;
		this.proven = false;
		dialled.closeFuture().addListener((closed) -> lost(dialled));
	}

	void opened(Channel dialled) {
		if (dialled != this.channel) {
			return;
		}
		this.open = true;
		while (!this.waiting.isEmpty()) {
			write(this.waiting.poll());
		}
	}

	// Only a frame that the other end has read proves the connection: a node with another
	// secret accepts it, closes it at the first frame and would be dialled without end.
	void acknowledged(Channel dialled) {
		if (dialled == this.channel) {
			this.proven = true;
			this.failures = 0;
		}
	}

	private void lost(Channel dialled) {
		if (dialled != this.channel) {
			return;
		}
		this.channel = null;
		this.open = false;
		if (!this.proven) {
			backOff();
		}
		failWaiting("the node could not be reached");
	}

	private void backOff() {
		long longest = SHORTEST_BACKOFF.toNanos() << Math.min(this.failures, MOST_DOUBLINGS);
		this.failures++;
		long bounded = Math.min(longest, LONGEST_BACKOFF.toNanos());
		long jittered = bounded / 2 + ThreadLocalRandom.current().nextLong(bounded / 2);
		this.notBeforeNanos = System.nanoTime() + jittered;
	}

	private void write(Pending pending) {
		this.channel.writeAndFlush(pending.content).addListener((written) -> {
			if (written.isSuccess()) {
				release(pending);
				pending.done.complete(null);
			}
			else {
				fail(pending, String.valueOf(written.cause()));
			}
		});
	}

	private void failWaiting(String reason) {
		while (!this.waiting.isEmpty()) {
			fail(this.waiting.poll(), reason);
		}
	}

	private void fail(Pending pending, String reason) {
		release(pending);
		this.context.counters().failedSend();
		pending.done.completeExceptionally(PeerSendException.of(reason));
		this.context.events().accept(new PeerEvent.SendFailed(this.peer.incarnation().node(), pending.message));
	}

	private void release(Pending pending) {
		this.pendingMessages.decrementAndGet();
		if (pending.content != null) {
			this.pendingBytes -= pending.content.length;
		}
	}

	private static final class Pending {

		private final PeerMessage message;

		private final CompletableFuture<Void> done;

		private byte[] content;

		Pending(PeerMessage message, CompletableFuture<Void> done) {
			this.message = message;
			this.done = done;
		}

	}

}
