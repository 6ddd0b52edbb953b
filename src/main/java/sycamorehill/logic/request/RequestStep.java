package sycamorehill.logic.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.policy.RequestPolicy;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.request.RouteQuery;
import sycamorehill.model.target.ServingTarget;

/**
 * Accumulates the state changes and effects of one step of the request reducer.
 */
final class RequestStep {

	private final Instant now;

	private final NodeView view;

	private final List<Effect> effects = new ArrayList<>();

	private RequestState state;

	RequestStep(RequestState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
	}

	Step<RequestState> result() {
		return Step.of(this.state, this.effects);
	}

	RequestState state() {
		return this.state;
	}

	void replaceState(RequestState newState) {
		this.state = newState;
	}

	void putRequest(ActiveRequest request) {
		this.state = this.state.with(request);
	}

	void emit(Effect effect) {
		this.effects.add(effect);
	}

	void raise(Event event) {
		this.effects.add(new NodeEffect.Raise(event));
	}

	RequestPolicy policy() {
		return this.view.policy().request();
	}

	Instant now() {
		return this.now;
	}

	/**
	 * Sends a request to a target, or lets it wait for one.
	 * @param request the request, without a running attempt
	 */
	void startOrAwaitTarget(ActiveRequest request) {
		if (this.view.isQuarantined(request.description().fingerprint())) {
			finish(request,
					request.history()
						.outcome(RefusalReason.QUARANTINED, "its content has crashed the targets that ran it",
								this.view.policy().quarantine().quarantine()));
			return;
		}
		if (this.view.isSuspect(request.description().fingerprint())) {
			awaitIsolation(request);
			return;
		}
		Optional<ServingTarget> target = chooseTarget(request);
		if (target.isPresent()) {
			startAttempt(request, target.get());
		}
		else if (!scheduleRecheck(request)) {
			finish(request, request.history().outcome(retryAfter()));
		}
	}

	Optional<ServingTarget> chooseTarget(ActiveRequest request) {
		return this.view.chooseTarget(new RouteQuery(request.description(), excludedTargets(request)));
	}

	/**
	 * Returns the targets that a request must not be sent to. A stream that has started
	 * may only resume on the model version that it started with; otherwise it ends in an
	 * error. During a rollout of another version, it would otherwise continue with tokens
	 * of the other model, and the caller would receive a seemingly complete answer made
	 * of two.
	 * @param request the request
	 * @return the targets that have failed the request, and those with another model
	 * version
	 */
	Set<TargetName> excludedTargets(ActiveRequest request) {
		Set<TargetName> excluded = new HashSet<>(request.history().failedTargets());
		if (request.hasDeliveredTokens()) {
			this.view.servingTargets(request.description().service())
				.stream()
				.filter((target) -> !target.modelVersion().equals(request.begunWith().get()))
				.forEach((target) -> excluded.add(target.name()));
		}
		return excluded;
	}

	private void awaitIsolation(ActiveRequest request) {
		ActiveRequest waiting = request;
		if (!request.isolated()) {
			Instant until = this.now.plus(this.view.policy().quarantine().isolationWait());
			Instant deadline = request.description().deadline();
			waiting = request
				.withIsolation((request.hasDeliveredTokens() || until.isBefore(deadline)) ? until : deadline);
		}
		if (scheduleRecheck(waiting)) {
			raise(new RequestEvent.IsolationWanted(request.description(), excludedTargets(request)));
		}
		else {
			finish(request,
					request.history()
						.outcome(RefusalReason.NO_TARGET, "targets died running it, and none was free to run it apart",
								retryAfter()));
		}
	}

	void startAttempt(ActiveRequest request, ServingTarget target) {
		AttemptIdentifier identifier = AttemptIdentifier.of(this.view.self().incarnation(), this.state.attemptsDrawn());
		this.state = this.state.withAttemptDrawn();
		Optional<Instant> wakeAt = (request.isIdempotent() && !request.hasDeliveredTokens())
				? Optional.of(request.description().deadline()) : Optional.empty();
		putRequest(request.withAttemptStarted(new RunningAttempt(identifier, target)).withWakeAt(wakeAt));
		Idempotency idempotency = request.handling().orElseThrow();
		emit(new RequestEffect.StartAttempt(request.identifier(), identifier, target, idempotency,
				policy().patience()));
		raise(new RequestEvent.AttemptStarted(request.description(), identifier, target));
	}

	private boolean scheduleRecheck(ActiveRequest request) {
		if (!this.now.isBefore(request.giveUpAt())) {
			return false;
		}
		Instant recheckAt = this.now.plus(policy().recheck());
		Instant wakeAt = recheckAt.isBefore(request.giveUpAt()) ? recheckAt : request.giveUpAt();
		putRequest(request.withWakeAt(Optional.of(wakeAt)));
		return true;
	}

	/**
	 * Finishes a request with its final answer. The request is removed in the same step,
	 * so that it has no second answer.
	 * @param request the request
	 * @param outcome the outcome
	 */
	void finish(ActiveRequest request, RequestOutcome outcome) {
		finish(request, outcome, Optional.empty());
	}

	void finish(ActiveRequest request, RequestOutcome outcome, Optional<RecordedAnswer> answer) {
		request.running().ifPresent((running) -> cancelAttempt(request, running));
		this.state = this.state.without(request.identifier());
		emit(new RequestEffect.FinishRequest(request.identifier(), outcome));
		raise(new RequestEvent.Finished(request.description(), request.handling().orElse(Idempotency.ONCE_WITHOUT_KEY),
				outcome, request.history().tokens(), answer));
	}

	private void cancelAttempt(ActiveRequest request, RunningAttempt running) {
		emit(new RequestEffect.CancelAttempt(running.identifier()));
		raise(new RequestEvent.AttemptClosed(request.description(), running.identifier(), running.target(),
				new AttemptResult.Cancelled("given up")));
	}

	/**
	 * Returns the Retry-After for a refused caller. It is jittered, so that callers
	 * refused together do not retry together.
	 * @return the delay
	 */
	Duration retryAfter() {
		return jittered(policy().comeBack().multipliedBy(2));
	}

	Duration jittered(Duration maximum) {
		Duration duration = this.state.random().jittered(maximum);
		this.state = this.state.withRandom(this.state.random().next());
		return duration;
	}

	ServiceBudgets budgets(ServiceName service) {
		return this.state.budgets().getOrDefault(service, ServiceBudgets.full(policy()));
	}

	void setBudgets(ServiceName service, ServiceBudgets budgets) {
		this.state = this.state.withBudgets(service, budgets);
	}

}
