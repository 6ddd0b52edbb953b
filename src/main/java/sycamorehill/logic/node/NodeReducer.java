package sycamorehill.logic.node;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;

import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.logic.admission.AdmissionReducer;
import sycamorehill.logic.group.GroupReducer;
import sycamorehill.logic.health.HealthReducer;
import sycamorehill.logic.membership.MembershipReducer;
import sycamorehill.logic.observation.ObservationReducer;
import sycamorehill.logic.order.OrderReducer;
import sycamorehill.logic.quarantine.QuarantineReducer;
import sycamorehill.logic.request.RequestReducer;
import sycamorehill.logic.routing.RoutingReducer;
import sycamorehill.logic.ticket.TicketReducer;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.Event;

/**
 * Handles an external event in one step. It passes the event to the reducer of every part
 * in a fixed order, then does the same with the events that the reducers raise, until
 * none is left.
 */
public final class NodeReducer {

	private static final int MAXIMUM_EVENTS_PER_STEP = 100_000;

	private final List<Part<?>> parts = List.of(
			new Part<>(AdmissionReducer.create(), NodeState::admission, NodeState::withAdmission),
			new Part<>(RoutingReducer.create(), NodeState::routing, NodeState::withRouting),
			new Part<>(RequestReducer.create(), NodeState::request, NodeState::withRequest),
			new Part<>(HealthReducer.create(), NodeState::health, NodeState::withHealth),
			new Part<>(QuarantineReducer.create(), NodeState::quarantine, NodeState::withQuarantine),
			new Part<>(OrderReducer.create(), NodeState::order, NodeState::withOrder),
			new Part<>(TicketReducer.create(), NodeState::ticket, NodeState::withTicket),
			new Part<>(MembershipReducer.create(), NodeState::membership, NodeState::withMembership),
			new Part<>(ObservationReducer.create(), NodeState::observation, NodeState::withObservation),
			new Part<>(GroupReducer.create(), NodeState::group, NodeState::withGroup));

	private NodeReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static NodeReducer create() {
		return new NodeReducer();
	}

	/**
	 * Handles one external event.
	 * @param state the state of the node
	 * @param now the monotonic time of this node
	 * @param event the event
	 * @return the state after the event and the effects to execute
	 */
	public Step<NodeState> reduce(NodeState state, Instant now, Event event) {
		List<Effect> externalEffects = new ArrayList<>();
		Deque<Event> events = new ArrayDeque<>();
		events.add(event);
		NodeState current = state;
		int processed = 0;
		while (!events.isEmpty()) {
			if (++processed > MAXIMUM_EVENTS_PER_STEP) {
				throw new IllegalStateException("too many events raised in one step, starting with " + event);
			}
			Event next = events.poll();
			for (Part<?> part : this.parts) {
				current = part.reduce(current, now, next, externalEffects, events);
			}
		}
		return Step.of(current, externalEffects);
	}

	private record Part<S>(Reducer<S> reducer, Function<NodeState, S> getState,
			BiFunction<NodeState, S, NodeState> setState) {

		NodeState reduce(NodeState state, Instant now, Event event, List<Effect> externalEffects, Deque<Event> events) {
			S before = this.getState.apply(state);
			Step<S> step = this.reducer.reduce(before, now, event, StateView.of(state, now));
			for (Effect effect : step.effects()) {
				if (effect instanceof NodeEffect.Raise raise) {
					events.add(raise.event());
				}
				else {
					externalEffects.add(effect);
				}
			}
			return (step.state() != before) ? this.setState.apply(state, step.state()) : state;
		}

	}

}
