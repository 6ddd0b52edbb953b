package sycamorehill.entry;

import java.util.function.Consumer;

import io.netty.channel.ChannelFuture;

import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.TargetAddress;

/**
 * Connects targets to find out whether they can be reached. The connection is kept for
 * the next request.
 */
final class TargetProbe {

	private final TargetConnectionPool connectionPool;

	private final EntryEventSink eventSink;

	private TargetProbe(TargetConnectionPool connectionPool, EntryEventSink eventSink) {
		this.connectionPool = connectionPool;
		this.eventSink = eventSink;
	}

	static TargetProbe of(TargetConnectionPool connectionPool, EntryEventSink eventSink) {
		return new TargetProbe(connectionPool, eventSink);
	}

	/**
	 * Connects a target.
	 * @param target the target
	 * @param connected is run if it accepts the connection
	 * @param failed receives why it doesn't
	 */
	void connect(TargetAddress target, Runnable connected, Consumer<Throwable> failed) {
		ChannelFuture connecting = this.connectionPool.connect(target);
		connecting.addListener((future) -> {
			if (!future.isSuccess()) {
				failed.accept(future.cause());
				return;
			}
			this.connectionPool.release(target, TargetConnection.of(connecting.channel()), null);
			connected.run();
			this.eventSink.post(new EntryEvent.TargetConnected(target.name()));
		});
	}

}
