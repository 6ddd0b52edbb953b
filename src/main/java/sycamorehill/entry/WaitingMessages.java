package sycamorehill.entry;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Messages of later requests on a caller's connection. They wait while a request is
 * served, and are dropped once its answer closes the connection.
 */
final class WaitingMessages {

	/** Number of messages at which reading from the connection stops. */
	private static final int MAXIMUM_MESSAGES = 64;

	private final CallerServer server;

	private final Queue<Object> messages = new ArrayDeque<>();

	private boolean dropsReported;

	private UnwrittenAnswer dropped;

	private WaitingMessages(CallerServer server) {
		this.server = server;
	}

	static WaitingMessages of(CallerServer server) {
		return new WaitingMessages(server);
	}

	/**
	 * Adds a message.
	 * @param message the message
	 * @return true if no more should be read
	 */
	boolean add(Object message) {
		this.messages.add(message);
		return this.messages.size() > MAXIMUM_MESSAGES;
	}

	List<Object> takeAll() {
		List<Object> taken = List.copyOf(this.messages);
		this.messages.clear();
		return taken;
	}

	/**
	 * Drops the messages, and reports each complete request among them and those that are
	 * dropped later.
	 */
	void dropReported() {
		this.dropsReported = true;
		takeAll().forEach(this::drop);
	}

	/**
	 * Drops a message. It is not reported on a connection that is closed for a malformed
	 * request: what follows that need not be a request.
	 * @param message the message; it is released
	 */
	void drop(Object message) {
		if (this.dropsReported) {
			report(message);
		}
		ReferenceCountUtil.release(message);
	}

	private void report(Object message) {
		if (message instanceof HttpRequest head && head.decoderResult().isSuccess()) {
			this.dropped = UnwrittenAnswer.of(System.nanoTime());
			this.dropped.identify(this.server.identifier(head));
		}
		if (message instanceof LastHttpContent && this.dropped != null) {
			this.server.cutLog().recordCallerCut(this.dropped, CutCause.BEHIND_LAST_ANSWER);
			this.dropped = null;
		}
	}

	void release() {
		takeAll().forEach(ReferenceCountUtil::release);
	}

}
