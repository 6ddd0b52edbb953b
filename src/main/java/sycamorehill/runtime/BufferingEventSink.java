package sycamorehill.runtime;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import sycamorehill.model.event.Event;

/**
 * Buffers the events of adapters that are created before the control loop, and forwards
 * them once the loop is connected.
 */
final class BufferingEventSink implements EventSink {

	private final Queue<Event> buffered = new ConcurrentLinkedQueue<>();

	private volatile EventSink sink = this.buffered::add;

	private BufferingEventSink() {
	}

	static BufferingEventSink create() {
		return new BufferingEventSink();
	}

	void connect(EventSink target) {
		this.sink = target;
		Event event = this.buffered.poll();
		while (event != null) {
			target.post(event);
			event = this.buffered.poll();
		}
	}

	@Override
	public void post(Event event) {
		this.sink.post(event);
	}

}
