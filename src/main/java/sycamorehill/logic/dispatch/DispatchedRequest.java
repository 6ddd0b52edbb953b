package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.Workspace;

/**
 * Tracks one caller's request over its attempts, from its arrival to its final answer.
 */
final class DispatchedRequest {

	private final CallerRequest request;

	private final Route route;

	private final ServiceName service;

	private final Optional<Workspace> workspace;

	private final Instant arrivedAt;

	private final Set<TargetName> triedTargets = new HashSet<>();

	private Optional<TargetName> target = Optional.empty();

	private Instant attemptStartedAt = Instant.MIN;

	private int attempts;

	private int targetsReached;

	private boolean mayHaveRun;

	/**
	 * Whether a target's failure is held back; the caller gets it if no target succeeds.
	 */
	private boolean failureHeld;

	private Optional<Duration> timeToFirstAnswer = Optional.empty();

	private DispatchedRequest(CallerRequest request, Route route, ServiceName service, Optional<Workspace> workspace,
			Instant arrivedAt) {
		this.request = request;
		this.route = route;
		this.service = service;
		this.workspace = workspace;
		this.arrivedAt = arrivedAt;
	}

	static DispatchedRequest of(CallerRequest request, Route route, ServiceName service, Optional<Workspace> workspace,
			Instant arrivedAt) {
		return new DispatchedRequest(request, route, service, workspace, arrivedAt);
	}

	int startAttempt(TargetName chosen, Instant now) {
		this.target = Optional.of(chosen);
		this.attemptStartedAt = now;
		this.attempts++;
		return this.attempts;
	}

	void endAttempt() {
		this.target.ifPresent(this.triedTargets::add);
		this.target = Optional.empty();
	}

	void countReachedTarget() {
		this.targetsReached++;
	}

	void markMayHaveRun() {
		this.mayHaveRun = true;
	}

	void markFailureHeld() {
		this.failureHeld = true;
	}

	void markAnswerStarted(Duration elapsed) {
		this.timeToFirstAnswer = Optional.of(elapsed);
	}

	CallerRequest request() {
		return this.request;
	}

	Route route() {
		return this.route;
	}

	ServiceName service() {
		return this.service;
	}

	Optional<Workspace> workspace() {
		return this.workspace;
	}

	Instant arrivedAt() {
		return this.arrivedAt;
	}

	Set<TargetName> triedTargets() {
		return this.triedTargets;
	}

	Optional<TargetName> target() {
		return this.target;
	}

	Instant attemptStartedAt() {
		return this.attemptStartedAt;
	}

	int attempts() {
		return this.attempts;
	}

	int targetsReached() {
		return this.targetsReached;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	boolean failureHeld() {
		return this.failureHeld;
	}

	boolean answerStarted() {
		return this.timeToFirstAnswer.isPresent();
	}

	Optional<Duration> timeToFirstAnswer() {
		return this.timeToFirstAnswer;
	}

	/**
	 * Returns how much of the time that the caller and the route allow is left.
	 * @param now the current time
	 * @return the time left, negative after the deadline
	 */
	Duration timeLeft(Instant now) {
		return effectiveTimeout().minus(Duration.between(this.arrivedAt, now));
	}

	Duration effectiveTimeout() {
		Duration timeout = this.route.timeout();
		return this.request.timeLeft().filter((left) -> left.compareTo(timeout) < 0).orElse(timeout);
	}

}
