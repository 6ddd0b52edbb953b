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
 * A request between its arrival and its final answer.
 */
final class ActiveRequest {

	private final CallerRequest request;

	private final Route route;

	private final ServiceName service;

	private final Optional<Workspace> workspace;

	private final Instant arrived;

	private final Set<TargetName> avoided = new HashSet<>();

	private Optional<TargetName> target = Optional.empty();

	private Instant attemptStarted = Instant.MIN;

	private int attempts;

	private int targetsReached;

	private boolean mayHaveRun;

	private boolean failureHeld;

	private Optional<Duration> firstAnswer = Optional.empty();

	private ActiveRequest(CallerRequest request, Route route, ServiceName service, Optional<Workspace> workspace,
			Instant arrived) {
		this.request = request;
		this.route = route;
		this.service = service;
		this.workspace = workspace;
		this.arrived = arrived;
	}

	static ActiveRequest of(CallerRequest request, Route route, ServiceName service, Optional<Workspace> workspace,
			Instant arrived) {
		return new ActiveRequest(request, route, service, workspace, arrived);
	}

	int begin(TargetName chosen, Instant now) {
		this.target = Optional.of(chosen);
		this.attemptStarted = now;
		this.attempts++;
		return this.attempts;
	}

	void ended() {
		this.target.ifPresent(this.avoided::add);
		this.target = Optional.empty();
	}

	void reachedTarget() {
		this.targetsReached++;
	}

	void ran() {
		this.mayHaveRun = true;
	}

	void holdFailure() {
		this.failureHeld = true;
	}

	void answerBegan(Duration time) {
		this.firstAnswer = Optional.of(time);
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

	Instant arrived() {
		return this.arrived;
	}

	Set<TargetName> avoided() {
		return this.avoided;
	}

	Optional<TargetName> target() {
		return this.target;
	}

	Instant attemptStarted() {
		return this.attemptStarted;
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

	boolean answerBegun() {
		return this.firstAnswer.isPresent();
	}

	Optional<Duration> firstAnswer() {
		return this.firstAnswer;
	}

	/**
	 * How long the caller and the route still allow.
	 * @param now the present time
	 * @return the time left, negative once it is over
	 */
	Duration timeLeft(Instant now) {
		return bound().minus(Duration.between(this.arrived, now));
	}

	Duration bound() {
		Duration timeout = this.route.timeout();
		return this.request.timeLeft().filter((left) -> left.compareTo(timeout) < 0).orElse(timeout);
	}

}
