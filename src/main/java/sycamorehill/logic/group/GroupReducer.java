package sycamorehill.logic.group;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * Forming, repairing and draining of model groups.
 */
public final class GroupReducer implements Reducer<GroupState> {

	private GroupReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static GroupReducer create() {
		return new GroupReducer();
	}

	@Override
	public Step<GroupState> reduce(GroupState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
