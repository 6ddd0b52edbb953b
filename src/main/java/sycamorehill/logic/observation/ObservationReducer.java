package sycamorehill.logic.observation;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * Which target VMs were seen, and in which state.
 */
public final class ObservationReducer implements Reducer<ObservationState> {

	private ObservationReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static ObservationReducer create() {
		return new ObservationReducer();
	}

	@Override
	public Step<ObservationState> reduce(ObservationState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
