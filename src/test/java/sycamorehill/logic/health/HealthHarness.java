package sycamorehill.logic.health;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.support.FixedView;
import sycamorehill.support.SampleRequests;

/**
 * Runs the health reducer on its own with simulated attempts and time.
 */
final class HealthHarness {

	private static final AttemptResult COMPLETED = new AttemptResult.Completed(1, Optional.empty());

	private static final RequestDescription REQUEST = SampleRequests.request("n1", 1, "a");

	private final HealthReducer reducer = HealthReducer.create();

	private final FixedView view = FixedView.of("n1");

	private final List<Effect> effects = new ArrayList<>();

	private HealthState state = HealthState.initial();

	private Instant now = Instant.EPOCH;

	private long attempts;

	FixedView view() {
		return this.view;
	}

	List<Effect> effects() {
		return this.effects;
	}

	HealthHarness feed(Event event) {
		Step<HealthState> step = this.reducer.reduce(this.state, this.now, event, this.view);
		this.state = step.state();
		this.effects.addAll(step.effects());
		return this;
	}

	HealthHarness advance(Duration duration) {
		this.now = this.now.plus(duration);
		return feed(new NodeEvent.Ticked(this.now));
	}

	AttemptIdentifier start(ServingTarget target) {
		AttemptIdentifier attempt = AttemptIdentifier.of(this.view.self().incarnation(), this.attempts++);
		feed(new RequestEvent.AttemptStarted(REQUEST, attempt, target));
		return attempt;
	}

	HealthHarness close(ServingTarget target, AttemptIdentifier attempt, AttemptResult result) {
		return feed(new RequestEvent.AttemptClosed(REQUEST, attempt, target, result));
	}

	HealthHarness end(ServingTarget target, AttemptResult result) {
		return close(target, start(target), result);
	}

	HealthHarness complete(ServingTarget target, Duration firstToken) {
		AttemptIdentifier attempt = start(target);
		advance(firstToken);
		feed(new RequestEvent.FirstToken(attempt));
		return close(target, attempt, COMPLETED);
	}

	List<ServingTarget> usable(List<ServingTarget> targets) {
		return this.state.usable(targets, this.now, this.view.policy().health());
	}

}
