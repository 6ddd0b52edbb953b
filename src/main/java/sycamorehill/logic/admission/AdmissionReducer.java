package sycamorehill.logic.admission;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * Limits, queues and early refusal.
 */
public final class AdmissionReducer implements Reducer<AdmissionState> {

	private AdmissionReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static AdmissionReducer create() {
		return new AdmissionReducer();
	}

	@Override
	public Step<AdmissionState> reduce(AdmissionState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
