package sycamorehill.runtime;

import sycamorehill.model.event.Event;

/**
 * Accepts events for the control thread.
 */
@FunctionalInterface
public interface EventSink {

	/**
	 * Posts an event. Any thread may call this method.
	 * @param event the event
	 */
	void post(Event event);

}
