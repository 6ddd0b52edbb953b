package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NotRunCause;

/**
 * Connection of another node that sends requests through this one, one after another.
 */
final class ProxyServerConnection implements ProxyChannel.Listener {

	/**
	 * Maximum time for which the connection may be idle, or a request incomplete or
	 * unconfirmed.
	 */
	private static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(6);

	private final ProxyServer server;

	private final ProxyChannel connection;

	private ProxiedExchange exchange;

	/** Bytes that are still received of the body of a refused request. */
	private int refusedBodyBytes;

	private boolean started;

	private long idleSinceNanos = System.nanoTime();

	/** Unsent bytes at the last check. */
	private long unsentBytes;

	private ProxyServerConnection(ProxyServer server, ProxyChannel connection) {
		this.server = server;
		this.connection = connection;
	}

	static ProxyServerConnection of(ProxyServer server, ProxyChannel connection) {
		return new ProxyServerConnection(server, connection);
	}

	@Override
	public void handleFrame(ProxyFrame frame) {
		this.idleSinceNanos = System.nanoTime();
		if (frame instanceof ProxyFrame.Request request && isIdle()) {
			startRequest(request);
		}
		else if (frame instanceof ProxyFrame.Body part && this.refusedBodyBytes > 0) {
			dropRefusedBody(part.bytes().length);
		}
		else if (frame instanceof ProxyFrame.Body part && this.exchange != null
				&& part.bytes().length <= this.exchange.missingBodyBytes()) {
			this.exchange.appendBody(part.bytes());
			acceptIfComplete();
		}
		else if (frame instanceof ProxyFrame.Confirmed && isComplete() && !this.started) {
			post();
		}
		else {
			throw new IllegalStateException("unexpected frame " + ProxyFrameKind.of(frame));
		}
	}

	private boolean isIdle() {
		return (this.exchange == null || this.exchange.isFinished()) && this.refusedBodyBytes == 0;
	}

	private void startRequest(ProxyFrame.Request request) {
		this.started = false;
		this.exchange = null;
		if (request.bodyBytes() < 0) {
			throw new IllegalStateException("a body of " + request.bodyBytes() + " bytes");
		}
		this.server.admit(request, this.connection).ifPresentOrElse((admitted) -> {
			this.exchange = admitted;
			acceptIfComplete();
		}, () -> {
			this.refusedBodyBytes = request.bodyBytes();
			refuseIfComplete();
		});
	}

	private void dropRefusedBody(int bytes) {
		this.refusedBodyBytes -= Math.min(bytes, this.refusedBodyBytes);
		refuseIfComplete();
	}

	private void refuseIfComplete() {
		if (this.refusedBodyBytes == 0) {
			this.connection
				.send(new ProxyFrame.End(Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE)));
		}
	}

	private boolean isComplete() {
		return this.exchange != null && this.exchange.missingBodyBytes() == 0;
	}

	private void acceptIfComplete() {
		if (!isComplete()) {
			return;
		}
		this.connection.send(new ProxyFrame.Accepted());
		if (this.exchange.received().request().kind().isRepeatable()) {
			post();
		}
	}

	private void post() {
		this.started = true;
		this.server.exchanges().add(this.exchange);
		this.server.eventSink()
			.post(new EntryEvent.ProxiedRequestArrived(this.exchange.number(), this.exchange.received().request()));
	}

	@Override
	public void handleClosed(String cause, boolean closedHere) {
		if (this.exchange == null || this.exchange.isFinished()) {
			return;
		}
		if (closedHere) {
			reportCut(CutCause.CONNECTION_FAILED);
		}
		if (this.started) {
			this.exchange.handleOriginDisconnected(this.server.eventSink());
		}
		else {
			this.exchange.drop();
		}
	}

	@Override
	public void handleWritability(boolean writable) {
		if (this.exchange != null && !this.exchange.isFinished()) {
			this.exchange.pause(!writable);
		}
	}

	boolean hasUnsentBytes() {
		return this.connection.unsentBytes() > 0;
	}

	// The time of a running request is not idle, or a connection would be closed as soon
	// as a long answer has ended: with its last frames unsent, or the next request on its
	// way. The same holds while the other node takes what is unsent.
	void closeIfExpired(long nowNanos) {
		long unsentBefore = this.unsentBytes;
		this.unsentBytes = this.connection.unsentBytes();
		boolean running = this.started && !this.exchange.isFinished();
		if (running || this.unsentBytes < unsentBefore) {
			this.idleSinceNanos = nowNanos;
		}
		else if (nowNanos - this.idleSinceNanos > MAXIMUM_IDLE_TIME.toNanos()) {
			if (hasUnsentBytes()) {
				reportCut(CutCause.IDLE_TIMER);
			}
			this.connection.close();
			handleClosed("idle", false);
		}
	}

	/** Reports the answer that the end of the process breaks off, if there is one. */
	void reportUnfinished() {
		if (this.exchange != null && (!this.exchange.isFinished() || hasUnsentBytes())) {
			reportCut(CutCause.DRAIN_BOUND);
		}
	}

	private void reportCut(CutCause cause) {
		if (this.exchange != null) {
			this.server.cutLog()
				.recordNodeCut(this.exchange.answer(), cause, this.exchange.received().request().origin());
		}
	}

}
