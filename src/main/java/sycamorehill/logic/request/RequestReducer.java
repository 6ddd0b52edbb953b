package sycamorehill.logic.request;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * The life of a request: attempts, retries, resumes and its outcome.
 */
public final class RequestReducer implements Reducer<RequestState> {

	private RequestReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static RequestReducer create() {
		return new RequestReducer();
	}

	@Override
	public Step<RequestState> reduce(RequestState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
