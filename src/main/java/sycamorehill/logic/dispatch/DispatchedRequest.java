package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.logic.directory.GroupKey;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.HomeRegions;
import sycamorehill.model.serving.LostRequest;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetIncarnation;
import sycamorehill.model.serving.WeightedService;
import sycamorehill.model.serving.Workspace;

/**
 * Tracks one caller's request over its attempts, from its arrival to its final answer.
 * The route, the workspace and the service are those under which it arrived, whatever
 * later configurations contain.
 */
final class DispatchedRequest {

	private final CallerRequest request;

	private final Route route;

	private final ServiceParameters service;

	private final Optional<Workspace> workspace;

	private final Instant arrivedAt;

	private final Set<TargetName> triedTargets = new HashSet<>();

	private final Optional<ProxiedRequest> proxied;

	/** Targets that this node could not connect; another node may reach them. */
	private final Set<TargetName> unconnectedTargets = new HashSet<>();

	private final Set<String> triedNodes = new HashSet<>();

	/** The current or last attempt. */
	private AttemptState attempt = AttemptState.none();

	/** An attempt that runs beside the current one. */
	private Optional<AttemptState> otherAttempt = Optional.empty();

	private int attempts;

	private int targetsReached;

	private int unreachedTargets;

	private boolean mayHaveRun;

	/**
	 * Whether a target's failure is held back; the caller gets it if no target succeeds.
	 */
	private boolean failureHeld;

	/** The last retry that the budget has allowed. */
	private Optional<GrantedRetry> retry = Optional.empty();

	/** Whether the retry budget has refused the last retry. */
	private boolean retryRefused;

	/** Whether the use of the workspace contains what this request asks for. */
	private boolean asked;

	/** Whether the use of the workspace contains this request as admitted. */
	private boolean admitted;

	private boolean resumable = true;

	private Optional<Duration> timeToFirstAnswer = Optional.empty();

	private DispatchedRequest(CallerRequest request, Route route, ServiceParameters service,
			Optional<Workspace> workspace, Instant arrivedAt, Optional<ProxiedRequest> proxied) {
		this.request = request;
		this.route = route;
		this.service = service;
		this.workspace = workspace;
		this.arrivedAt = arrivedAt;
		this.proxied = proxied;
	}

	static DispatchedRequest of(CallerRequest request, Route route, ServiceParameters service,
			Optional<Workspace> workspace, Instant arrivedAt) {
		return new DispatchedRequest(request, route, service, workspace, arrivedAt, Optional.empty());
	}

	/**
	 * Creates a request that another node sends through this one.
	 * @param number the request's number within this process
	 * @param proxied what the other node has decided
	 * @param service the parameters of its service
	 * @param now the current time
	 * @return the request
	 */
	static DispatchedRequest of(long number, ProxiedRequest proxied, ServiceParameters service, Instant now) {
		CallerRequest request = new CallerRequest(number, proxied.identifier(), "", "", Optional.empty(),
				proxied.model(), proxied.tokenCounts(), proxied.sharedPromptParts(), Optional.of(proxied.timeout()),
				proxied.contentHash());
		Route route = new Route(proxied.route(), "", "", proxied.kind(), proxied.routeTimeout(),
				proxied.latencyTarget(), Optional.empty(), proxied.priority(),
				List.of(new WeightedService(proxied.service(), 1)), 1, true, proxied.routeHomes());
		DispatchedRequest dispatched = new DispatchedRequest(request, route, service, proxied.workspace(),
				now.minus(proxied.elapsed()), Optional.of(proxied));
		dispatched.triedTargets.addAll(proxied.triedTargets());
		return dispatched;
	}

	/**
	 * Returns what another node needs to know to send this request to a target.
	 * @param origin name of this node
	 * @param now the current time
	 * @return the request
	 */
	ProxiedRequest toProxied(String origin, Instant now) {
		Set<TargetName> excluded = new HashSet<>(this.triedTargets);
		excluded.removeAll(this.unconnectedTargets);
		return new ProxiedRequest(origin, this.request.identifier(), this.route.name(), this.route.kind(), service(),
				this.workspace, this.route.priority(), this.route.latencyTarget(), this.route.timeout(),
				effectiveTimeout(), Duration.between(this.arrivedAt, now), this.request.model(),
				this.request.tokenCounts(), this.request.sharedPromptParts(), this.request.contentHash(), excluded,
				answerStarted(), targetsCounted() + 1 < this.route.maximumAttempts(), this.route.homes(), true);
	}

	int startAttempt(TargetEntry chosen, Duration firstAnswer, Instant now) {
		this.attempts++;
		this.attempt = AttemptState.at(this.attempts, chosen, firstAnswer, now);
		return this.attempts;
	}

	int startAttemptThrough(String node, Instant now) {
		this.attempts++;
		this.attempt = AttemptState.through(this.attempts, node, this.attempt, now);
		return this.attempts;
	}

	void endAttempt() {
		this.attempt.target().ifPresent(this.triedTargets::add);
		this.attempt.end();
	}

	/** Keeps the current attempt, which is stalled, beside the next one. */
	void setAsideAttempt() {
		this.attempt.target().ifPresent(this.triedTargets::add);
		this.attempt.setStalled(true);
		this.otherAttempt = Optional.of(this.attempt);
	}

	/**
	 * Makes the running attempt with a number the current one.
	 * @param number number of the attempt
	 * @return false if it doesn't run any more
	 */
	boolean makeCurrent(int number) {
		if (this.otherAttempt.filter((other) -> other.number() == number).isPresent()) {
			AttemptState other = this.otherAttempt.get();
			this.otherAttempt = Optional.of(this.attempt);
			this.attempt = other;
		}
		return this.attempt.number() == number;
	}

	/** Continues with the other attempt alone, after the current one has ended. */
	void continueWithOtherAttempt() {
		this.attempt = this.otherAttempt.orElseThrow();
		this.otherAttempt = Optional.empty();
	}

	/** Continues with the current attempt alone, after the other one has ended. */
	void dropOtherAttempt() {
		this.otherAttempt.flatMap(AttemptState::target).ifPresent(this.triedTargets::add);
		this.otherAttempt = Optional.empty();
		this.attempt.setStalled(false);
	}

	AttemptState currentAttempt() {
		return this.attempt;
	}

	/**
	 * Returns the attempt that runs beside the current one.
	 * @return the attempt; empty if there is none
	 */
	Optional<AttemptState> otherAttempt() {
		return this.otherAttempt;
	}

	/**
	 * Returns how many targets the request has reached without its current attempt.
	 * @return the number, with the target of the other attempt
	 */
	int targetsCounted() {
		return this.targetsReached + (this.otherAttempt.isPresent() ? 1 : 0);
	}

	/**
	 * Ends an attempt through another node.
	 * @param selected the target that the node selected; empty if it is not known
	 */
	void endProxiedAttempt(Optional<TargetName> selected) {
		selected.ifPresent(this.triedTargets::add);
		this.attempt.end();
	}

	void markUnconnected(TargetName unconnected) {
		this.unconnectedTargets.add(unconnected);
	}

	void countReachedTarget() {
		this.targetsReached++;
	}

	void countUnreachedTarget() {
		this.unreachedTargets++;
	}

	void excludeTarget(TargetName excluded) {
		this.triedTargets.add(excluded);
	}

	void excludeNode(String node) {
		this.triedNodes.add(node);
	}

	void markMayHaveRun() {
		this.mayHaveRun = true;
	}

	void markFailureHeld() {
		this.failureHeld = true;
	}

	/**
	 * Sets the retry as which the next attempt counts. The last attempt has ended.
	 * @param granted the retry
	 * @param now the current time
	 */
	void replaceRetry(GrantedRetry granted, Instant now) {
		recordArrival(now);
		this.retry = Optional.of(granted);
	}

	/**
	 * Records that the current attempt has reached its target, or was cancelled.
	 * @param now the current time
	 */
	void recordArrival(Instant now) {
		this.attempt.transit().settle(now);
		this.retry.ifPresent((granted) -> granted.recordArrival(now));
	}

	/**
	 * Returns the tracker of the current attempt's arrival at its target.
	 * @return the tracker
	 */
	Transit transit() {
		return this.attempt.transit();
	}

	Duration expectedFirstAnswer() {
		return this.attempt.expectedFirstAnswer();
	}

	/**
	 * Returns the last retry if none of its attempts has reached a target.
	 * @return the retry; empty if there is none, or it may have arrived
	 */
	Optional<GrantedRetry> unsentRetry() {
		return this.retry.filter((granted) -> !granted.hasArrived());
	}

	void setRetryRefused(boolean refused) {
		this.retryRefused = refused;
	}

	void markAttemptAnswered(Instant now) {
		this.attempt.markAnswered(now);
	}

	/**
	 * Returns when the target of the last attempt sent its first event.
	 * @return the time; empty if it has sent none
	 */
	Optional<Instant> attemptAnsweredAt() {
		return this.attempt.answeredAt();
	}

	void markAttemptFoundSound() {
		this.attempt.markFoundSound();
	}

	boolean attemptFoundSound() {
		return this.attempt.isFoundSound();
	}

	/**
	 * Marks what this request asks for as contained in the use of its workspace.
	 * @return false if it was before
	 */
	boolean markAsked() {
		boolean first = !this.asked;
		this.asked = true;
		return first;
	}

	/**
	 * Marks this request as contained in the admitted use of its workspace.
	 * @return false if it was before
	 */
	boolean markAdmitted() {
		boolean first = !this.admitted;
		this.admitted = true;
		return first;
	}

	void markNotResumable() {
		this.resumable = false;
	}

	/**
	 * Returns whether another target may go on with the answer.
	 * @return false unless it is a stream whose events so far were all numbered
	 */
	boolean isResumable() {
		return this.resumable && this.route.kind() == RequestKind.RESUMABLE_STREAM;
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
		return this.service.name();
	}

	ServiceParameters serviceParameters() {
		return this.service;
	}

	Optional<Workspace> workspace() {
		return this.workspace;
	}

	/**
	 * Returns the regions in which the request may be served.
	 * @return the regions of the route and the workspace under which it arrived
	 */
	HomeRegions homes() {
		return HomeRegions.of(this.route, this.workspace);
	}

	Instant arrivedAt() {
		return this.arrivedAt;
	}

	Set<TargetName> triedTargets() {
		return this.triedTargets;
	}

	Optional<TargetName> target() {
		return this.attempt.target();
	}

	/**
	 * Returns the process of the target to which the last attempt of this node was sent.
	 * @return the process; empty if there was no such attempt
	 */
	Optional<TargetIncarnation> attemptTarget() {
		return this.attempt.incarnation();
	}

	/**
	 * Returns what may have crashed the target of the last attempt.
	 * @return this request
	 */
	LostRequest toLostRequest() {
		return LostRequest.now(this.request.identifier(), this.request.traits());
	}

	/**
	 * Returns the group to which the current attempt was sent.
	 * @return the group; empty if the target was in none
	 */
	Optional<GroupKey> group() {
		return this.attempt.group();
	}

	Optional<String> proxy() {
		return this.attempt.proxy();
	}

	/**
	 * Returns what the node that has the caller has decided.
	 * @return the request as that node sent it; empty if this node has the caller
	 */
	Optional<ProxiedRequest> proxied() {
		return this.proxied;
	}

	Set<String> triedNodes() {
		return this.triedNodes;
	}

	boolean anotherAttemptMayFollow() {
		return this.proxied.map(ProxiedRequest::anotherAttemptMayFollow)
			.orElse(targetsCounted() + 1 < this.route.maximumAttempts());
	}

	Instant attemptStartedAt() {
		return this.attempt.startedAt();
	}

	int attempts() {
		return this.attempts;
	}

	int targetsReached() {
		return this.targetsReached;
	}

	int unreachedTargets() {
		return this.unreachedTargets;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	boolean failureHeld() {
		return this.failureHeld;
	}

	boolean retryRefused() {
		return this.retryRefused;
	}

	boolean answerStarted() {
		return this.timeToFirstAnswer.isPresent() || this.proxied.filter(ProxiedRequest::answerStarted).isPresent();
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
