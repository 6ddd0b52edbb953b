package sycamorehill.logic.quarantine;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * Content that crashes targets.
 */
public final class QuarantineReducer implements Reducer<QuarantineState> {

	private QuarantineReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static QuarantineReducer create() {
		return new QuarantineReducer();
	}

	@Override
	public Step<QuarantineState> reduce(QuarantineState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
