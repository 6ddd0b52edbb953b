package sycamorehill.entry;

import sycamorehill.model.serving.EntryEvent;

/**
 * Hands events to the control thread.
 */
interface EventPost {

	/**
	 * Hands an event over; never blocks.
	 * @param event the event
	 */
	void post(EntryEvent event);

}
