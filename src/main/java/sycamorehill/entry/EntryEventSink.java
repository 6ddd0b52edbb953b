package sycamorehill.entry;

import sycamorehill.model.serving.EntryEvent;

/**
 * Receives events for the reducer, which processes them one at a time.
 */
interface EntryEventSink {

	/**
	 * Posts an event without blocking.
	 * @param event the event
	 */
	void post(EntryEvent event);

}
