package sycamorehill.runtime;

import sycamorehill.model.event.Event;

/**
 * Takes events for the control thread.
 */
@FunctionalInterface
public interface EventSink {

	/**
	 * Hands an event over, from any thread.
	 * @param event what happened
	 */
	void post(Event event);

}
