package sycamorehill.logic;

import java.time.Instant;

import sycamorehill.model.event.Event;

/**
 * The decisions of one part. It starts no thread, reads no clock and does no I/O.
 *
 * @param <S> the part's state, immutable and never copied whole
 */
public interface Reducer<S> {

	/**
	 * Takes one event in. An event that does not concern the part leaves the state as it
	 * is.
	 * @param state the part's state
	 * @param now monotonic time of this node; never compared with another node's
	 * @param event what happened
	 * @param view what the other parts know at the start of this event
	 * @return the state after it and what is to be done
	 */
	Step<S> reduce(S state, Instant now, Event event, NodeView view);

}
