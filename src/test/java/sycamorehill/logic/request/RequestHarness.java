package sycamorehill.logic.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.support.FixedView;

/**
 * Runs the request reducer on its own and records its effects and events.
 */
final class RequestHarness {

	private static final Duration TICK = Duration.ofMillis(100);

	private final RequestReducer reducer = RequestReducer.create();

	private final FixedView view = FixedView.of("n1");

	private final List<Effect> effects = new ArrayList<>();

	private final List<Event> raised = new ArrayList<>();

	private RequestState state = RequestState.initial();

	private Instant now = Instant.EPOCH;

	FixedView view() {
		return this.view;
	}

	RequestState state() {
		return this.state;
	}

	List<Effect> effects() {
		return this.effects;
	}

	RequestHarness feed(Event event) {
		Deque<Event> events = new ArrayDeque<>(List.of(event));
		while (!events.isEmpty()) {
			Step<RequestState> step = this.reducer.reduce(this.state, this.now, events.poll(), this.view);
			this.state = step.state();
			for (Effect effect : step.effects()) {
				if (effect instanceof NodeEffect.Raise raise) {
					events.add(raise.event());
					this.raised.add(raise.event());
				}
				else {
					this.effects.add(effect);
				}
			}
		}
		return this;
	}

	RequestHarness clear(RequestDescription request, Idempotency idempotency) {
		return feed(new RequestEvent.Arrived(request)).feed(new RequestEvent.Cleared(request, idempotency));
	}

	RequestHarness advance(Duration duration) {
		Instant end = this.now.plus(duration);
		while (this.now.isBefore(end)) {
			this.now = this.now.plus(TICK);
			feed(new NodeEvent.Ticked(this.now));
		}
		return this;
	}

	RequestHarness firstToken() {
		return feed(new RequestEvent.FirstToken(lastAttempt()));
	}

	RequestHarness end(AttemptResult result) {
		return end(0, result);
	}

	RequestHarness end(int delivered, AttemptResult result) {
		return feed(new RequestEvent.AttemptEnded(lastAttempt(), delivered, result));
	}

	AttemptIdentifier lastAttempt() {
		List<RequestEffect.StartAttempt> starts = starts();
		return starts.get(starts.size() - 1).attempt();
	}

	List<RequestEffect.StartAttempt> starts() {
		return elementsOf(this.effects, RequestEffect.StartAttempt.class);
	}

	List<RequestOutcome> outcomes() {
		return elementsOf(this.effects, RequestEffect.FinishRequest.class).stream()
			.map(RequestEffect.FinishRequest::outcome)
			.toList();
	}

	List<RequestEvent.Finished> finished() {
		return elementsOf(this.raised, RequestEvent.Finished.class);
	}

	static <T> List<T> elementsOf(List<?> elements, Class<T> type) {
		return elements.stream().filter(type::isInstance).map(type::cast).toList();
	}

}
