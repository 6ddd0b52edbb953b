package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetReport;

/**
 * Handles each request from its arrival to its final answer: finds its route and
 * workspace, selects targets, retries where that is safe, and refuses requests that can't
 * be served.
 */
public final class RequestDispatcher {

	private static final int UNAVAILABLE = 503;

	/**
	 * Maximum number of attempts of a request that reach no target, for example because
	 * the connection is refused. Each costs a connection and runs nothing.
	 */
	private static final int MAXIMUM_UNREACHED_ATTEMPTS = 4;

	/**
	 * How long a target is ejected that reports that it is full: about one step of its
	 * batch.
	 */
	private static final Duration FULL_TARGET_EJECTION = Duration.ofMillis(60);

	/** How long a target is ejected that does not match its directory entry. */
	private static final Duration WRONG_TARGET_EJECTION = Duration.ofMillis(500);

	/** How long a target is ejected whose answers have all paused. */
	private static final Duration SILENT_TARGET_EJECTION = Duration.ofSeconds(2);

	/**
	 * Retry-After for requests that another node can serve: almost at once, but not in a
	 * tight loop.
	 */
	private static final Duration RETRY_ELSEWHERE_AFTER = Duration.ofMillis(50);

	private final String nodeName;

	private final TargetDirectory directory;

	private final TargetSelector targetSelector;

	private final AttemptStarter attemptStarter;

	private final RandomGenerator random;

	private final Map<Long, DispatchedRequest> activeRequests = new HashMap<>();

	private final RetryBudgets retryBudgets;

	private final FinalAnswers finalAnswers;

	private final CrashHistory crashHistory = CrashHistory.create();

	private final TargetReachability reachability = TargetReachability.create();

	private final RequestRouter router;

	private RequestDispatcher(EntrySettings settings, TargetDirectory directory, RandomGenerator random) {
		this.nodeName = settings.nodeName();
		this.retryBudgets = RetryBudgets.of(settings);
		this.directory = directory;
		this.targetSelector = TargetSelector.of(settings, directory, random);
		this.attemptStarter = AttemptStarter.of(settings.nodeName(), this.targetSelector);
		this.finalAnswers = FinalAnswers.of(random);
		this.router = RequestRouter.of(this.crashHistory, this.finalAnswers::retryAfter);
		this.random = random;
	}

	/**
	 * Creates a dispatcher.
	 * @param settings the node's settings
	 * @param directory the known targets
	 * @param random the source of all random choices
	 * @return the dispatcher
	 */
	public static RequestDispatcher of(EntrySettings settings, TargetDirectory directory, RandomGenerator random) {
		return new RequestDispatcher(settings, directory, random);
	}

	/**
	 * Applies a configuration to all later requests.
	 * @param configuration the configuration
	 */
	public void adopt(Configuration configuration) {
		this.router.adopt(configuration);
	}

	/**
	 * Returns the number of requests without a final answer.
	 * @return the number of requests
	 */
	public int activeRequests() {
		return this.activeRequests.size();
	}

	/**
	 * Handles the arrival of a request.
	 * @param request the request
	 * @param arrivedAt when it arrived
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleRequest(CallerRequest request, Instant arrivedAt, Instant now, Effects effects) {
		RequestRouter.Decision decision = this.router.route(request);
		if (decision instanceof RequestRouter.Refused refused) {
			refuseUnrouted(request, refused, effects);
		}
		else if (decision instanceof RequestRouter.Routed routed) {
			dispatch(request, routed, arrivedAt, now, effects);
		}
	}

	private void dispatch(CallerRequest request, RequestRouter.Routed routed, Instant arrivedAt, Instant now,
			Effects effects) {
		ServiceName service = routed.route().selectService(this.random.nextDouble());
		DispatchedRequest active = DispatchedRequest.of(request, routed.route(), service, routed.workspace(),
				arrivedAt);
		this.activeRequests.put(request.number(), active);
		effects.add(new EntryEffect.LimitRequestTime(request.number(), active.timeLeft(now)));
		this.retryBudgets.of(service).recordRequest(now);
		place(active, "no target can take it", now, effects);
	}

	/**
	 * Refuses a request because this node is stopping; another node can serve it at once.
	 * @param request the request
	 * @param effects receives the resulting effects
	 */
	public void refuseStopping(CallerRequest request, Effects effects) {
		refuseUnrouted(request,
				new RequestRouter.Refused(UNAVAILABLE, "not run: this node stops", Optional.of(RETRY_ELSEWHERE_AFTER)),
				effects);
	}

	private void refuseUnrouted(CallerRequest request, RequestRouter.Refused refused, Effects effects) {
		String version = this.router.configuration().map((current) -> String.valueOf(current.version())).orElse("none");
		this.finalAnswers.refuseUnrouted(request,
				new EntryEffect.Answer(request.number(), refused.status(), refused.detail(), refused.retryAfter()),
				version, effects);
	}

	private void place(DispatchedRequest active, String fallbackCause, Instant now, Effects effects) {
		Configuration configuration = this.router.configuration().orElseThrow();
		TargetSelector.Selection selection = this.targetSelector.select(active, configuration, now);
		if (selection.admission() == Admission.Decision.REFUSED) {
			giveUp(active, selection.choice().isEmpty() ? fallbackCause : "all targets are full", now, effects);
			return;
		}
		this.attemptStarter.start(active, selection, configuration, now, effects);
	}

	/**
	 * Handles a new connection to a target.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleConnected(TargetName target, Instant now, Effects effects) {
		this.reachability.recordReached(target, now, effects);
	}

	/**
	 * Handles the first event of an attempt's answer.
	 * @param number the request's number
	 * @param now the current time
	 */
	public void handleFirstEvent(long number, Instant now) {
		DispatchedRequest request = this.activeRequests.get(number);
		if (request == null) {
			return;
		}
		if (!request.answerStarted()) {
			request.markAnswerStarted(Duration.between(request.arrivedAt(), now));
		}
		request.target()
			.ifPresent((target) -> status(target).recordFirstAnswer(Duration.between(request.attemptStartedAt(), now),
					now));
	}

	/**
	 * Handles the end of an attempt.
	 * @param number the request's number
	 * @param attempt the attempt's number
	 * @param end how the attempt ended
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleAttemptEnd(long number, int attempt, AttemptEnd end, Instant now, Effects effects) {
		DispatchedRequest request = this.activeRequests.get(number);
		if (request == null || request.attempts() != attempt || request.target().isEmpty()) {
			return;
		}
		TargetName target = request.target().get();
		status(target).recordEnded();
		request.endAttempt();
		boolean repeatable = request.route().kind().isRepeatable();
		if (end instanceof AttemptEnd.Delivered delivered) {
			handleDelivered(request, target, delivered, now, effects);
		}
		else if (end instanceof AttemptEnd.NotRun notRun) {
			handleNotRun(request, target, notRun, now, effects);
		}
		else if (end instanceof AttemptEnd.Failed failed) {
			request.countReachedTarget();
			request.markMayHaveRun();
			request.markFailureHeld();
			retryOrGiveUp(request, target, "status " + failed.status(), repeatable, now, effects);
		}
		else if (end instanceof AttemptEnd.Unknown unknown) {
			request.countReachedTarget();
			request.markMayHaveRun();
			recordLostAttempt(request, target, unknown.connectionLost(), now, effects);
			retryOrGiveUp(request, target, unknown.cause(), repeatable, now, effects);
		}
		else if (end instanceof AttemptEnd.Broken broken) {
			request.countReachedTarget();
			request.markMayHaveRun();
			recordLostAttempt(request, target, broken.connectionLost(), now, effects);
			boolean resumable = broken.resumable() && request.route().kind() == RequestKind.RESUMABLE_STREAM;
			retryOrGiveUp(request, target, broken.cause(), resumable, now, effects);
		}
	}

	private void recordLostAttempt(DispatchedRequest request, TargetName target, boolean connectionLost, Instant now,
			Effects effects) {
		if (connectionLost) {
			this.reachability.recordFailure(target, now, effects);
		}
		status(target).recordFailure(now);
		recordCrash(request, target, effects);
	}

	private void recordCrash(DispatchedRequest request, TargetName target, Effects effects) {
		long content = request.request().contentHash();
		this.crashHistory.recordCrash(content, target);
		effects.add(new EntryEffect.Broadcast(new NodeMessage.Suspicion(this.nodeName, content, target)));
	}

	/**
	 * Handles a message from another node.
	 * @param message the message
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleMessage(NodeMessage message, Instant now, Effects effects) {
		if (message instanceof NodeMessage.Loads loads) {
			this.targetSelector.statuses().handleReport(loads, now);
		}
		else if (message instanceof NodeMessage.SummedLoads added) {
			added.sums().forEach((sum) -> this.targetSelector.statuses().handleReport(sum, now));
		}
		else if (message instanceof NodeMessage.RequestPlaced placed) {
			this.targetSelector.statuses().handleReport(placed, now);
		}
		else if (message instanceof NodeMessage.TargetLimited limited) {
			this.targetSelector.rateLimits().handleMessage(limited, now, effects);
		}
		else if (message instanceof NodeMessage.Suspicion suspicion) {
			this.crashHistory.recordCrash(suspicion.contentHash(), suspicion.target());
		}
		else if (message instanceof NodeMessage.SuspicionCleared cleared) {
			this.crashHistory.clear(cleared.contentHash());
		}
	}

	/**
	 * Returns the number of requests that a target has from all nodes, as far as this
	 * node knows.
	 * @param target the target
	 * @param now the current time
	 * @return the number of requests
	 */
	public int countRequests(TargetName target, Instant now) {
		return this.targetSelector.statuses().requests(target, now);
	}

	/**
	 * Returns how many requests this node has in flight with each target.
	 * @return the numbers by target
	 */
	public Map<TargetName, Integer> inFlightByTarget() {
		return this.targetSelector.statuses().inFlightByTarget();
	}

	/**
	 * Divides the retry budgets and the rate limits among the current nodes.
	 * @param liveNodes number of live nodes, including this one
	 * @param peers the other nodes, as far as each is known
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void updateNodes(int liveNodes, List<NodeRecord> peers, Instant now, Effects effects) {
		this.retryBudgets.setNodeCount(liveNodes);
		this.targetSelector.updateNodes(liveNodes, peers, now, effects);
	}

	/**
	 * Applies changed settings.
	 * @param settings the settings
	 */
	public void updateSettings(EntrySettings settings) {
		this.retryBudgets.updateSettings(settings);
	}

	private void handleDelivered(DispatchedRequest request, TargetName target, AttemptEnd.Delivered delivered,
			Instant now, Effects effects) {
		if (!request.route().kind().isStreaming()) {
			status(target).recordFirstAnswer(Duration.between(request.attemptStartedAt(), now), now);
		}
		this.activeRequests.remove(request.request().number());
		long content = request.request().contentHash();
		if (this.crashHistory.isSuspect(content)) {
			this.crashHistory.clear(content);
			effects.add(new EntryEffect.Broadcast(new NodeMessage.SuspicionCleared(this.nodeName, content)));
		}
		this.finalAnswers.recordDelivered(request, target, delivered, now, effects);
	}

	private void handleNotRun(DispatchedRequest request, TargetName target, AttemptEnd.NotRun notRun, Instant now,
			Effects effects) {
		switch (notRun.cause()) {
			case NOT_CONNECTED -> {
				status(target).recordFailure(now);
				this.reachability.recordFailure(target, now, effects);
			}
			case EXPIRED -> {
			}
			case WRONG_TARGET -> handleWrongTarget(request, target, now);
			case REFUSED -> status(target).eject(now, FULL_TARGET_EJECTION);
		}
		boolean unreached = notRun.cause() == NotRunCause.NOT_CONNECTED || notRun.cause() == NotRunCause.EXPIRED;
		if (!unreached) {
			request.countReachedTarget();
		}
		boolean allowed = unreached ? request.attempts() - request.targetsReached() < MAXIMUM_UNREACHED_ATTEMPTS
				: takeRetry(request, now);
		String cause = "not run by " + target + ": " + notRun.cause();
		if (!allowed) {
			giveUp(request, cause, now, effects);
			return;
		}
		logRetry(request, target, cause, now, effects);
		place(request, cause, now, effects);
	}

	// A resumed stream asks for the weights that it began with, and a head that serves
	// other weights refuses it too. The refusal of such a stream doesn't show that the
	// group has ended.
	private void handleWrongTarget(DispatchedRequest request, TargetName target, Instant now) {
		status(target).eject(now, WRONG_TARGET_EJECTION);
		if (request.answerStarted()) {
			return;
		}
		this.directory.find(target)
			.flatMap(TargetEntry::membership)
			.ifPresent((membership) -> this.targetSelector.markGroupEnded(membership.group(), membership.epoch(), now));
	}

	/**
	 * Handles the end of a group before the directory lists it.
	 * @param head the engine that received the group's requests
	 * @param group the group's name
	 * @param epoch the group's epoch
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleGroupEnded(TargetName head, String group, long epoch, Instant now, Effects effects) {
		this.targetSelector.markGroupEnded(group, epoch, now);
		moveStreams(head, now, effects);
	}

	private void retryOrGiveUp(DispatchedRequest request, TargetName target, String cause, boolean allowed, Instant now,
			Effects effects) {
		if (!allowed || !takeRetry(request, now)) {
			giveUp(request, cause, now, effects);
			return;
		}
		logRetry(request, target, cause, now, effects);
		place(request, cause, now, effects);
	}

	private boolean takeRetry(DispatchedRequest request, Instant now) {
		return request.targetsReached() < request.route().maximumAttempts() && !request.timeLeft(now).isNegative()
				&& this.retryBudgets.of(request.service()).tryRetry(now);
	}

	private void logRetry(DispatchedRequest request, TargetName target, String cause, Instant now, Effects effects) {
		effects.log(LogEvent.REQUEST_SENT_AGAIN, FinalAnswers.describe(request, now) + " from=" + target + " cause='"
				+ cause + "' begun=" + request.answerStarted());
	}

	private void giveUp(DispatchedRequest request, String cause, Instant now, Effects effects) {
		this.activeRequests.remove(request.request().number());
		Duration restLeft = this.targetSelector.restLeft(request, this.router.configuration().orElseThrow(), now);
		String fullCause = restLeft.isZero() ? cause : cause + ", all targets rest";
		this.finalAnswers.giveUp(request, fullCause, restLeft, now, effects);
	}

	/**
	 * Answers a request whose time has expired.
	 * @param number the request's number
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleTimeout(long number, Instant now, Effects effects) {
		DispatchedRequest request = this.activeRequests.get(number);
		if (request == null) {
			return;
		}
		request.target().ifPresent((target) -> {
			status(target).recordEnded();
			request.markMayHaveRun();
			effects.add(new EntryEffect.CancelAttempt(number, request.attempts()));
		});
		if (request.answerStarted() || request.failureHeld() || !request.mayHaveRun()) {
			giveUp(request, "time is over", now, effects);
			return;
		}
		this.activeRequests.remove(number);
		this.finalAnswers.answerTimeout(request, now, effects);
	}

	/**
	 * Drops a request whose caller has disconnected.
	 * @param number the request's number
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleCallerDisconnected(long number, Instant now, Effects effects) {
		DispatchedRequest request = this.activeRequests.remove(number);
		if (request != null) {
			request.target().ifPresent((target) -> status(target).recordEnded());
			this.finalAnswers.recordAbandoned(request, now, effects);
		}
	}

	/**
	 * Handles a target whose answers have all paused, because it or a member of its group
	 * was lost. Streams that can be resumed elsewhere are moved. Other requests wait,
	 * because silence alone is no reason to end an answer.
	 * @param target the target
	 * @param source who observed the silence, for the log
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleSilentTarget(TargetName target, String source, Instant now, Effects effects) {
		status(target).eject(now, SILENT_TARGET_EJECTION);
		effects.log(LogEvent.TARGET_SILENT,
				"target=" + target + " in-flight=" + status(target).inFlight() + " source=" + source);
		moveStreams(target, now, effects);
	}

	/**
	 * Returns whether requests may wait in a target's queue.
	 * @param target the target
	 * @param now the current time
	 * @return true unless the target is known to have free slots
	 */
	public boolean mayQueue(TargetName target, Instant now) {
		return status(target).mayQueue(now);
	}

	/**
	 * Handles a target that other nodes have found silent. A node that has started
	 * streams there relies on its own observation: two nodes behind a link that loses
	 * packets may be wrong for all others.
	 * @param target the target
	 * @param source the nodes that found it silent, for the log
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleReportedSilence(TargetName target, String source, Instant now, Effects effects) {
		boolean hasStartedStream = this.activeRequests.values()
			.stream()
			.anyMatch((request) -> request.answerStarted() && request.target().filter(target::equals).isPresent());
		if (!hasStartedStream) {
			handleSilentTarget(target, source, now, effects);
		}
	}

	private void moveStreams(TargetName target, Instant now, Effects effects) {
		for (DispatchedRequest request : List.copyOf(this.activeRequests.values())) {
			boolean onTarget = request.target().filter(target::equals).isPresent();
			if (onTarget && request.route().kind() == RequestKind.RESUMABLE_STREAM && hasAlternative(request, now)
					&& takeRetry(request, now)) {
				effects.add(new EntryEffect.CancelAttempt(request.request().number(), request.attempts()));
				status(target).recordEnded();
				request.endAttempt();
				request.countReachedTarget();
				request.markMayHaveRun();
				logRetry(request, target, "silent", now, effects);
				place(request, "the target fell silent", now, effects);
			}
		}
	}

	private boolean hasAlternative(DispatchedRequest request, Instant now) {
		if (request.targetsReached() + 1 >= request.route().maximumAttempts()) {
			return false;
		}
		return this.targetSelector.hasTarget(request, this.router.configuration().orElseThrow(), now);
	}

	/**
	 * Handles what a target reports about itself with an answer.
	 * @param told the target and its report
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleTargetReport(EntryEvent.TargetReported told, Instant now, Effects effects) {
		TargetReport report = told.report();
		this.reachability.recordReached(told.target(), now, effects);
		report.load().ifPresent((load) -> status(told.target()).recordReport(load, now));
		report.rest().ifPresent((rest) -> handleRest(told.target(), rest, now, effects));
		Instant sentAt = Optional.ofNullable(this.activeRequests.get(told.number()))
			.filter((request) -> request.target().filter(told.target()::equals).isPresent())
			.map(DispatchedRequest::attemptStartedAt)
			.orElse(Instant.MIN);
		this.targetSelector.rateLimits().handleTargetReport(told.target(), report.rateLimit(), sentAt, now, effects);
	}

	private void handleRest(TargetName target, Duration rest, Instant now, Effects effects) {
		status(target).rest(now, rest);
		effects.log(LogEvent.TARGET_RESTING, "target=" + target + " rest-millis=" + rest.toMillis());
	}

	/**
	 * Removes the rate limit of a target that has ended, and its status unless requests
	 * are in flight there.
	 * @param target the target
	 */
	public void forget(TargetName target) {
		this.targetSelector.forget(target);
	}

	private TargetStatus status(TargetName target) {
		return this.targetSelector.status(target);
	}

}
