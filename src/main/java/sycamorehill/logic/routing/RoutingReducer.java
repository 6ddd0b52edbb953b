package sycamorehill.logic.routing;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.logic.routing.RoutingState.OpenAttempt;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.request.AttemptResult;

/**
 * Maintains the data for choosing targets: the node's open requests at each target, the
 * accuracy of the predictions and the targets of recent prefixes.
 */
public final class RoutingReducer implements Reducer<RoutingState> {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

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
		if (event instanceof RequestEvent.AttemptStarted started) {
			return Step.of(handleAttemptStarted(state, now, started, view));
		}
		if (event instanceof RequestEvent.FirstToken first) {
			return Step.of(handleFirstToken(state, now, first.attempt()));
		}
		if (event instanceof RequestEvent.AttemptClosed closed) {
			return Step.of(handleAttemptClosed(state, now, closed));
		}
		if (event instanceof NodeEvent.Started started) {
			return Step.of(new RoutingState(started.seed(), state.loads(), state.attempts(), state.homes()));
		}
		return Step.of(state);
	}

	private static RoutingState handleAttemptStarted(RoutingState state, Instant now, RequestEvent.AttemptStarted event,
			NodeView view) {
		RouteContext context = new RouteContext(event.request(), state, view, now);
		double predicted = PredictedLatencyChooser.predictFirstToken(event.target(), context, true);
		OpenAttempt attempt = new OpenAttempt(event.target().name(), now, predicted, false);
		TargetLoad load = state.loadOf(event.target().name())
			.withSent(event.attempt().number(), now, context.observation(event.target()));
		PrefixTargets homes = state.homes()
			.withSent(event.request().prefixHashes(), event.target().name(), now,
					view.policy().routing().rememberedPrefixes());
		return state.withLoad(event.target().name(), load)
			.withAttempts(state.attempts().plus(event.attempt(), attempt))
			.withHomes(homes);
	}

	private static RoutingState handleFirstToken(RoutingState state, Instant now, AttemptIdentifier identifier) {
		OpenAttempt attempt = state.attempts().get(identifier);
		if (attempt == null || attempt.begun()) {
			return state;
		}
		TargetLoad load = state.loadOf(attempt.target())
			.withMeasured(attempt.predicted(), secondsSinceSent(attempt, now));
		OpenAttempt begun = new OpenAttempt(attempt.target(), attempt.at(), attempt.predicted(), true);
		return state.withLoad(attempt.target(), load).withAttempts(state.attempts().plus(identifier, begun));
	}

	private static RoutingState handleAttemptClosed(RoutingState state, Instant now, RequestEvent.AttemptClosed event) {
		OpenAttempt attempt = state.attempts().get(event.attempt());
		if (attempt == null) {
			return state;
		}
		boolean whole = event.result() instanceof AttemptResult.Completed;
		TargetLoad load = state.loadOf(attempt.target())
			.withEnded(event.attempt().number(), whole ? secondsSinceSent(attempt, now) : 0, now);
		return state.withLoad(attempt.target(), load).withAttempts(state.attempts().minus(event.attempt()));
	}

	private static double secondsSinceSent(OpenAttempt attempt, Instant now) {
		return Duration.between(attempt.at(), now).toNanos() / NANOSECONDS_PER_SECOND;
	}

}
