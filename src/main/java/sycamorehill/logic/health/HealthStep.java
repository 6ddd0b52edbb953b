package sycamorehill.logic.health;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.TargetLeaving;
import sycamorehill.model.policy.HealthPolicy;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.target.ServingTarget;

/**
 * Accumulates the state changes and effects of one step of the health reducer.
 */
final class HealthStep {

	private static final int MAXIMUM_DOUBLINGS = 16;

	private static final Duration REMOVAL_INTERVAL = Duration.ofMinutes(1);

	private final Instant now;

	private final NodeView view;

	private final HealthPolicy policy;

	private final List<Effect> effects = new ArrayList<>();

	private HealthState state;

	HealthStep(HealthState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
		this.policy = view.policy().health();
	}

	Step<HealthState> result() {
		return Step.of(this.state, this.effects);
	}

	void handleAttemptStarted(RequestEvent.AttemptStarted event) {
		ServingTarget target = event.target();
		this.state = this.state.with(target.name(), currentHealth(target).withAttemptStarted(this.now));
		Instant checkAt = this.now.plus(this.policy.firstTokenCheck());
		this.state = this.state.with(event.attempt(), new PendingAttempt(target, this.now, Optional.of(checkAt)));
	}

	void handleFirstToken(AttemptIdentifier attempt) {
		PendingAttempt pending = this.state.attempts().get(attempt);
		if (pending != null && pending.checkAt().isPresent()) {
			this.state = this.state.with(attempt, pending.withCheckAt(Optional.empty()));
			recordFirstTokenTime(pending);
		}
	}

	void handleAttemptClosed(RequestEvent.AttemptClosed event) {
		if (event.result() instanceof AttemptResult.Completed) {
			handleFirstToken(event.attempt());
		}
		this.state = this.state.without(event.attempt());
		TargetName name = event.target().name();
		Optional<TargetHealth> tracked = this.state.healthOf(event.target());
		// An attempt on an earlier generation does not count for the current one.
		if (tracked.isEmpty()) {
			return;
		}
		this.state = this.state.with(name, healthAfter(name, tracked.get().withAttemptClosed(), event.result()));
		if (event.result() instanceof AttemptResult.RefusedBeforeRunning refused && refused.leaving()) {
			handleLeavingRefusal(event.target());
		}
	}

	private TargetHealth healthAfter(TargetName name, TargetHealth health, AttemptResult result) {
		if (result instanceof AttemptResult.Completed) {
			return health.withSuccess(this.policy.fullAllowance());
		}
		if (result instanceof AttemptResult.NotSent || result instanceof AttemptResult.Interrupted) {
			return ejectIfFailing(name, health.withConnectionFailure());
		}
		return (result instanceof AttemptResult.FailedWhileRunning) ? ejectIfFailing(name, health.withRunFailure())
				: health;
	}

	/**
	 * Records that a target is leaving, as reported by another node. The notice is also
	 * kept for a target that this node has not used yet.
	 * @param message the report of the other node
	 */
	void handleTargetLeaving(TargetLeaving message) {
		TargetLeavingNotice known = this.state.leaving().get(message.target());
		if (known == null || known.generation() <= message.generation()) {
			recordLeaving(message.target(), message.generation());
		}
	}

	private void handleLeavingRefusal(ServingTarget target) {
		boolean firstNotice = !this.state.leaving(target, this.now);
		long generation = TargetHealth.generationOf(target);
		recordLeaving(target.name(), generation);
		if (!firstNotice) {
			return;
		}
		log(LogEvent.TARGET_LEAVING, target.name() + " says that it is leaving");
		TargetLeaving message = new TargetLeaving(target.name(), generation);
		this.view.liveNodes()
			.nodes()
			.values()
			.stream()
			.filter((node) -> !node.identity().equals(this.view.self()))
			.forEach((node) -> this.effects.add(new PeerEffect.Send(node.identity(), message)));
	}

	private void recordLeaving(TargetName name, long generation) {
		// A generation of a group never returns, so its notice does not expire, even if
		// the VM list shows its VM as live again. A plain service may return at the same
		// address, so its notice expires.
		Instant until = (generation > 0) ? Instant.MAX : this.now.plus(this.policy.leavingMark());
		this.state = this.state.with(name, new TargetLeavingNotice(generation, until));
	}

	/**
	 * Adds the time waited so far as a sample for each attempt whose first token is
	 * overdue. A paused target delivers no first token, so it would otherwise keep the
	 * average from before its pause.
	 */
	void recordOverdueFirstTokens() {
		while (!this.state.checks().isEmpty() && !this.state.checks().first().at().isAfter(this.now)) {
			AttemptIdentifier attempt = this.state.checks().first().attempt();
			PendingAttempt pending = this.state.attempts().get(attempt);
			Duration waited = Duration.between(pending.startedAt(), this.now);
			this.state = this.state.with(attempt, pending.withCheckAt(Optional.of(this.now.plus(waited))));
			recordFirstTokenTime(pending);
		}
	}

	private void recordFirstTokenTime(PendingAttempt pending) {
		Optional<TargetHealth> tracked = this.state.healthOf(pending.target());
		if (tracked.isEmpty()) {
			return;
		}
		TargetName name = pending.target().name();
		TargetHealth health = tracked.get();
		Duration time = Duration.between(pending.startedAt(), this.now);
		health = health.withFirstTokens(health.firstTokens().withSample(time));
		this.state = this.state.with(name, health);
		if (!health.isEjected(this.now) && StragglerDetection.isStraggler(this.state, name, this.policy)) {
			this.state = this.state.with(name, eject(name, health, EjectionReason.SLOW));
		}
	}

	private TargetHealth ejectIfFailing(TargetName name, TargetHealth health) {
		boolean failed = health.connectionFailures() >= this.policy.connectionFailures()
				|| health.runFailures() >= this.policy.runFailures();
		// A target with an allowance is on trial, so its first failure ejects it.
		boolean onTrial = health.allowance().isPresent();
		return (failed || onTrial) ? eject(name, health, EjectionReason.FAILED) : health;
	}

	private TargetHealth eject(TargetName name, TargetHealth health, EjectionReason reason) {
		// Concurrent attempts on a failing target fail together. They count as one
		// failure, so that they don't double the ejection time several times.
		if (health.isEjected(this.now)) {
			return health;
		}
		int doublings = Math.min(health.timesAside(), MAXIMUM_DOUBLINGS);
		Duration doubled = this.policy.asideFirst().multipliedBy(1L << doublings);
		Duration maximum = (doubled.compareTo(this.policy.asideLongest()) < 0) ? doubled : this.policy.asideLongest();
		Duration time = this.state.random().jittered(maximum);
		this.state = this.state.withRandom(this.state.random().next());
		log(LogEvent.TARGET_ASIDE, name + " is ejected for " + time.toMillis() + " ms: " + reason);
		return health.withEjection(new Ejection(reason, this.now.plus(time)), this.policy.returnAllowance());
	}

	private TargetHealth currentHealth(ServingTarget target) {
		TargetHealth known = this.state.targets().get(target.name());
		if (known == null) {
			return TargetHealth.trusted(target, this.now);
		}
		long generation = TargetHealth.generationOf(target);
		return (known.generation() == generation) ? known
				: known.forNewGeneration(generation, this.policy.returnAllowance());
	}

	/**
	 * Removes targets that have not been used for the time set in the policy. Runs once
	 * per removal interval.
	 */
	void removeUnused() {
		if (this.now.isBefore(this.state.forgetAt())) {
			return;
		}
		Instant usedBefore = this.now.minus(this.policy.forget());
		List<TargetName> unused = this.state.targets()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().inFlight() == 0 && entry.getValue().usedAt().isBefore(usedBefore))
			.map((entry) -> entry.getKey())
			.toList();
		this.state = this.state.withTargets(this.state.targets().minusAll(unused), this.now.plus(REMOVAL_INTERVAL));
	}

	private void log(LogEvent event, String detail) {
		this.effects.add(new NodeEffect.WriteLog(LogLine.of(event, detail)));
	}

}
