package sycamorehill.logic.ticket;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * Filing, folding and spreading of tickets.
 */
public final class TicketReducer implements Reducer<TicketState> {

	private TicketReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static TicketReducer create() {
		return new TicketReducer();
	}

	@Override
	public Step<TicketState> reduce(TicketState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
