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
 * Sends messages to one node. Connects when there is a message to send, keeps the
 * connection open, and backs off exponentially after failures. Everything but
 * {@link #send} runs on one event loop.
 */
final class PeerLink {

	/** Bounds the messages to one node that have not been written yet. */
	static final int MAXIMUM_PENDING_MESSAGES = 1024;

	/** Bounds the encoded size of the messages that have not been written yet. */
	static final int MAXIMUM_PENDING_BYTES = 2 * PeerProtocol.MAXIMUM_FRAME_BYTES;

	private static final Duration MINIMUM_BACKOFF = Duration.ofMillis(100);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(5);

	private static final int MAXIMUM_DOUBLINGS = 6;

	private final PeerContext context;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final AtomicInteger pendingMessages = new AtomicInteger();

	private final Deque<PendingMessage> unsentMessages = new ArrayDeque<>();

	private volatile NodeIdentity peer;

	private Channel channel;

	private boolean open;

	private boolean confirmed;

	private int pendingBytes;

	private int consecutiveFailures;

	private long nextConnectNanos;

	private PeerLink(PeerContext context, EventLoop loop, Bootstrap bootstrap, NodeIdentity peer) {
		this.context = context;
		this.loop = loop;
		this.bootstrap = bootstrap;
		this.peer = peer;
		this.nextConnectNanos = System.nanoTime();
	}

	static PeerLink create(PeerContext context, EventLoop loop, Bootstrap bootstrap, NodeIdentity peer) {
		return new PeerLink(context, loop, bootstrap, peer);
	}

	CompletableFuture<Void> send(NodeIdentity to, PeerMessage message) {
		PendingMessage pending = new PendingMessage(message, new CompletableFuture<>());
		if (this.pendingMessages.incrementAndGet() > MAXIMUM_PENDING_MESSAGES) {
			fail(pending, "too many pending messages for the node");
			return pending.result;
		}
		try {
			this.loop.execute(() -> enqueue(to, pending));
		}
		catch (RejectedExecutionException ex) {
			fail(pending, "the transport is closed");
		}
		return pending.result;
	}

	void close() {
		this.loop.execute(() -> {
			if (this.channel != null) {
				this.channel.close();
			}
			failUnsentMessages("the transport is closed");
		});
	}

	private void enqueue(NodeIdentity to, PendingMessage pending) {
		updatePeer(to);
		byte[] encoded = encode(pending);
		if (encoded == null) {
			return;
		}
		if (this.pendingBytes + encoded.length > MAXIMUM_PENDING_BYTES) {
			fail(pending, "too many pending bytes for the node");
			return;
		}
		pending.encoded = encoded;
		this.pendingBytes += encoded.length;
		if (this.open) {
			write(pending);
			return;
		}
		this.unsentMessages.add(pending);
		connect();
	}

	// A restarted node may listen on another address, which is part of its identity.
	private void updatePeer(NodeIdentity to) {
		boolean addressChanged = !to.peerAddress().equals(this.peer.peerAddress());
		this.peer = to;
		if (addressChanged) {
			// Clear the channel before closing it, or the close would count as a failure
			// of the new address.
			Channel oldChannel = this.channel;
			this.channel = null;
			this.open = false;
			this.consecutiveFailures = 0;
			this.nextConnectNanos = System.nanoTime();
			if (oldChannel != null) {
				oldChannel.close();
			}
		}
	}

	private byte[] encode(PendingMessage pending) {
		try {
			byte[] encoded = this.context.codec().write(pending.message);
			if (encoded.length + FrameAuthenticator.CODE_BYTES > PeerProtocol.MAXIMUM_FRAME_BYTES) {
				this.context.log()
					.accept(LogLine.of(LogEvent.PEER_MESSAGE_TOO_LARGE, "to=" + this.peer.incarnation() + " type="
							+ pending.message.getClass().getSimpleName() + " bytes=" + encoded.length));
				fail(pending, "the message has " + encoded.length + " bytes");
				return null;
			}
			return encoded;
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
		if (System.nanoTime() - this.nextConnectNanos < 0) {
			failUnsentMessages("not reconnecting to the node before the backoff has elapsed");
			return;
		}
		Address address = this.peer.peerAddress();
		DialledConnection connection = DialledConnection.create(this.context, this, this.peer.incarnation().node());
		ChannelFuture connecting = this.bootstrap.clone(this.loop)
			.handler(connection.initializer())
			.connect(new InetSocketAddress(address.host(), address.port()));
		Channel dialled = connecting.channel();
		this.channel = dialled;
		this.confirmed = false;
		dialled.closeFuture().addListener((closed) -> handleConnectionClosed(dialled));
	}

	void handleConnectionOpened(Channel dialled) {
		if (dialled != this.channel) {
			return;
		}
		this.open = true;
		while (!this.unsentMessages.isEmpty()) {
			write(this.unsentMessages.poll());
		}
	}

	// Resets the backoff only when the other end has acknowledged a message. A node with
	// another secret accepts the connection and closes it at the first frame; if an open
	// connection were enough, this node would reconnect without any backoff.
	void handleAcknowledgement(Channel dialled) {
		if (dialled == this.channel) {
			this.confirmed = true;
			this.consecutiveFailures = 0;
		}
	}

	private void handleConnectionClosed(Channel dialled) {
		if (dialled != this.channel) {
			return;
		}
		this.channel = null;
		this.open = false;
		if (!this.confirmed) {
			backOff();
		}
		failUnsentMessages("the connection to the node failed or was closed");
	}

	private void backOff() {
		long backoff = MINIMUM_BACKOFF.toNanos() << Math.min(this.consecutiveFailures, MAXIMUM_DOUBLINGS);
		this.consecutiveFailures++;
		long bounded = Math.min(backoff, MAXIMUM_BACKOFF.toNanos());
		long jittered = bounded / 2 + ThreadLocalRandom.current().nextLong(bounded / 2);
		this.nextConnectNanos = System.nanoTime() + jittered;
	}

	private void write(PendingMessage pending) {
		this.channel.writeAndFlush(pending.encoded).addListener((written) -> {
			if (written.isSuccess()) {
				release(pending);
				pending.result.complete(null);
			}
			else {
				fail(pending, String.valueOf(written.cause()));
			}
		});
	}

	private void failUnsentMessages(String reason) {
		while (!this.unsentMessages.isEmpty()) {
			fail(this.unsentMessages.poll(), reason);
		}
	}

	private void fail(PendingMessage pending, String reason) {
		release(pending);
		this.context.counters().recordFailedSend();
		pending.result.completeExceptionally(PeerSendException.of(reason));
		this.context.events().accept(new PeerEvent.SendFailed(this.peer.incarnation().node(), pending.message));
	}

	private void release(PendingMessage pending) {
		this.pendingMessages.decrementAndGet();
		if (pending.encoded != null) {
			this.pendingBytes -= pending.encoded.length;
		}
	}

	private static final class PendingMessage {

		private final PeerMessage message;

		private final CompletableFuture<Void> result;

		private byte[] encoded;

		PendingMessage(PeerMessage message, CompletableFuture<Void> result) {
			this.message = message;
			this.result = result;
		}

	}

}
