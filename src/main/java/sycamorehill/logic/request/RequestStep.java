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
 * Collects the changes and effects of one step of the request part; it lives no longer
 * than the step.
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

	void replace(RequestState changed) {
		this.state = changed;
	}

	void put(ActiveRequest request) {
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
	 * Sends the request to a target, or has it wait for one.
	 * @param request the request, without an attempt under way
	 */
	void seekTarget(ActiveRequest request) {
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
			start(request, target.get());
		}
		else if (!awaitNextLook(request)) {
			finish(request, request.history().outcome(comeBack()));
		}
	}

	Optional<ServingTarget> chooseTarget(ActiveRequest request) {
		return this.view.chooseTarget(new RouteQuery(request.description(), excluded(request)));
	}

	/**
	 * The targets that a request must not be sent to. Failure: while a service is rolled
	 * to another model version, a stream that broke midway would go on with tokens of the
	 * other model; the caller would see one answer, whole by its end mark, made of two.
	 * So what has begun goes on only on the version that it began with, or ends in an
	 * error.
	 * @param request the request
	 * @return targets that have failed it, and those with another version
	 */
	Set<TargetName> excluded(ActiveRequest request) {
		Set<TargetName> excluded = new HashSet<>(request.history().failedTargets());
		if (request.begun()) {
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
			waiting = request.withIsolation((request.begun() || until.isBefore(deadline)) ? until : deadline);
		}
		if (awaitNextLook(waiting)) {
			raise(new RequestEvent.IsolationWanted(request.description(), excluded(request)));
		}
		else {
			finish(request,
					request.history()
						.outcome(RefusalReason.NO_TARGET, "targets died running it, and none was free to run it apart",
								comeBack()));
		}
	}

	void start(ActiveRequest request, ServingTarget target) {
		AttemptIdentifier identifier = AttemptIdentifier.of(this.view.self().incarnation(), this.state.attemptsDrawn());
		this.state = this.state.withAttemptDrawn();
		Optional<Instant> wakeAt = (request.repeatable() && !request.begun())
				? Optional.of(request.description().deadline()) : Optional.empty();
		put(request.started(new RunningAttempt(identifier, target)).withWakeAt(wakeAt));
		Idempotency handling = request.handling().orElseThrow();
		emit(new RequestEffect.StartAttempt(request.identifier(), identifier, target, handling, policy().patience()));
		raise(new RequestEvent.AttemptStarted(request.description(), identifier, target));
	}

	private boolean awaitNextLook(ActiveRequest request) {
		if (!this.now.isBefore(request.giveUpAt())) {
			return false;
		}
		Instant recheckAt = this.now.plus(policy().recheck());
		Instant wakeAt = recheckAt.isBefore(request.giveUpAt()) ? recheckAt : request.giveUpAt();
		put(request.withWakeAt(Optional.of(wakeAt)));
		return true;
	}

	/**
	 * Gives the request its final answer. It is forgotten in the same step, so that there
	 * is no second one.
	 * @param request the request
	 * @param outcome the answer
	 */
	void finish(ActiveRequest request, RequestOutcome outcome) {
		finish(request, outcome, Optional.empty());
	}

	void finish(ActiveRequest request, RequestOutcome outcome, Optional<RecordedAnswer> answer) {
		request.running().ifPresent((running) -> cancel(request, running));
		this.state = this.state.without(request.identifier());
		emit(new RequestEffect.FinishRequest(request.identifier(), outcome));
		raise(new RequestEvent.Finished(request.description(), request.handling().orElse(Idempotency.ONCE_WITHOUT_KEY),
				outcome, request.history().tokens(), answer));
	}

	private void cancel(ActiveRequest request, RunningAttempt running) {
		emit(new RequestEffect.CancelAttempt(running.identifier()));
		raise(new RequestEvent.AttemptClosed(request.description(), running.identifier(), running.target(),
				new AttemptResult.Cancelled("given up")));
	}

	/**
	 * When a caller that is refused may come back: spread out, so that callers refused
	 * together do not come back together.
	 * @return the time
	 */
	Duration comeBack() {
		return jittered(policy().comeBack().multipliedBy(2));
	}

	Duration jittered(Duration longest) {
		Duration drawn = this.state.random().jittered(longest);
		this.state = this.state.withRandom(this.state.random().next());
		return drawn;
	}

	ServiceBudgets budgets(ServiceName service) {
		return this.state.budgets().getOrDefault(service, ServiceBudgets.full(policy()));
	}

	void setBudgets(ServiceName service, ServiceBudgets budgets) {
		this.state = this.state.withBudgets(service, budgets);
	}

}
