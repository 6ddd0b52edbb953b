package sycamorehill.logic.routing;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * The choice of a target.
 */
public final class RoutingReducer implements Reducer<RoutingState> {

	private RoutingReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static RoutingReducer create() {
		return new RoutingReducer();
	}

	@Override
	public Step<RoutingState> reduce(RoutingState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
