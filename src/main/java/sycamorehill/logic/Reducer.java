package sycamorehill.logic;

import java.time.Instant;

import sycamorehill.model.event.Event;

/**
 * Makes the decisions of one part of the node as a pure function of state and event. An
 * implementation starts no thread, reads no clock and does no I/O.
 *
 * @param <S> the state of the part, immutable and never copied as a whole
 */
public interface Reducer<S> {

	/**
	 * Handles one event. An event that does not concern the part leaves the state
	 * unchanged.
	 * @param state the state of the part before the event
	 * @param now the monotonic time of this node, never compared with the time of another
	 * node
	 * @param event the event
	 * @param view read access to the other parts, some of which may have handled the
	 * event already
	 * @return the state after the event and the effects to execute
	 */
	Step<S> reduce(S state, Instant now, Event event, NodeView view);

}
