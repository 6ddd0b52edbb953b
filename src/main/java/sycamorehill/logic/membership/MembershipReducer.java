package sycamorehill.logic.membership;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * Which nodes of ours are alive.
 */
public final class MembershipReducer implements Reducer<MembershipState> {

	private MembershipReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static MembershipReducer create() {
		return new MembershipReducer();
	}

	@Override
	public Step<MembershipState> reduce(MembershipState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
