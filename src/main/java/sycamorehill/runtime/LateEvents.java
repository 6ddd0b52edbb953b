package sycamorehill.runtime;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import sycamorehill.model.event.Event;

/**
 * Takes events from edges that are made before the control loop, and keeps them until the
 * loop is there.
 */
final class LateEvents implements EventSink {

	private final Queue<Event> early = new ConcurrentLinkedQueue<>();

	private volatile EventSink sink = this.early::add;

	private LateEvents() {
	}

	static LateEvents create() {
		return new LateEvents();
	}

	void connect(EventSink loop) {
		this.sink = loop;
		Event event = this.early.poll();
		while (event != null) {
			loop.post(event);
			event = this.early.poll();
		}
	}

	@Override
	public void post(Event event) {
		this.sink.post(event);
	}

}
