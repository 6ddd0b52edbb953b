package sycamorehill.logic.health;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.RandomSequence;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.peer.TargetLeaving;

/**
 * Ejects targets that fail, stall or are slower than the other targets of their service,
 * and excludes targets that are leaving. A target that returns after an ejection starts
 * with a small number of concurrent requests.
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
		HealthStep step = new HealthStep(state, now, view);
		if (event instanceof RequestEvent.AttemptStarted started) {
			step.handleAttemptStarted(started);
		}
		else if (event instanceof RequestEvent.FirstToken first) {
			step.handleFirstToken(first.attempt());
		}
		else if (event instanceof RequestEvent.AttemptClosed closed) {
			step.handleAttemptClosed(closed);
		}
		else if (event instanceof NodeEvent.Ticked) {
			step.recordOverdueFirstTokens();
			step.removeUnused();
		}
		else if (event instanceof NodeEvent.Started started) {
			return Step.of(state.withRandom(RandomSequence.of(started.seed())));
		}
		else if (event instanceof PeerEvent.MessageReceived received
				&& received.message() instanceof TargetLeaving leaving) {
			step.handleTargetLeaving(leaving);
		}
		return step.result();
	}

}
