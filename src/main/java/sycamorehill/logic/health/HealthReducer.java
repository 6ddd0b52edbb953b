package sycamorehill.logic.health;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * Targets put aside and taken back.
 */
public final class HealthReducer implements Reducer<HealthState> {

	private HealthReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static HealthReducer create() {
		return new HealthReducer();
	}

	@Override
	public Step<HealthState> reduce(HealthState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
