package sycamorehill.entry;

import sycamorehill.model.serving.EntryEvent;

/**
 * Hands events to the decisions, which take them one after the other.
 */
interface EventSink {

	/**
	 * Hands an event over; never blocks.
	 * @param event the event
	 */
	void post(EntryEvent event);

}
