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
import sycamorehill.model.serving.ProxiedRequest;
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
	 * Retry-After for requests that another node can serve: almost at once, but not in a
	 * tight loop.
	 */
	private static final Duration RETRY_ELSEWHERE_AFTER = Duration.ofMillis(50);

	private final TargetDirectory directory;

	private final TargetSelector targetSelector;

	private final RandomGenerator random;

	private final Map<Long, DispatchedRequest> activeRequests = new HashMap<>();

	private final RetryBudgets retryBudgets;

	private final FinalAnswers finalAnswers;

	private final CrashHistory crashHistory = CrashHistory.create();

	private final RequestRouter router;

	private final TargetReachability reachability;

	private final ProxySelector proxySelector;

	private final CrashSuspicions crashSuspicions;

	private final AttemptOutcomes outcomes;

	private final AttemptScheduler scheduler;

	private final StalledStreams stalledStreams;

	private RequestDispatcher(EntrySettings settings, TargetDirectory directory, RandomGenerator random) {
		this.directory = directory;
		this.random = random;
		this.retryBudgets = RetryBudgets.of(settings);
		this.finalAnswers = FinalAnswers.of(random);
		this.router = RequestRouter.of(this.crashHistory, this.finalAnswers::retryAfter);
		this.targetSelector = TargetSelector.of(settings, directory, random);
		this.reachability = TargetReachability.of(settings.nodeName(), directory, random);
		this.proxySelector = ProxySelector.of(settings.dataCentre(), random);
		this.crashSuspicions = CrashSuspicions.of(settings.nodeName(), this.crashHistory, this.reachability);
		this.outcomes = AttemptOutcomes.of(directory, this.targetSelector, this.reachability, this.crashSuspicions);
		this.scheduler = AttemptScheduler.of(() -> this.router.configuration().orElseThrow(), this.targetSelector,
				AttemptStarter.of(settings.nodeName(), this.targetSelector), this.reachability, this.proxySelector,
				this.retryBudgets, this.finalAnswers, this.activeRequests);
		this.stalledStreams = StalledStreams.of(this.activeRequests, this.targetSelector, this.proxySelector,
				this.scheduler);
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
		this.scheduler.place(active, "no target can take it", now, effects);
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

	/**
	 * Handles a request that another node sends through this one. That node has decided
	 * everything but the target.
	 * @param number the request's number within this process
	 * @param request the request
	 * @param accepts whether this node accepts new requests
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleProxiedRequest(long number, ProxiedRequest request, boolean accepts, Instant now,
			Effects effects) {
		DispatchedRequest active = DispatchedRequest.of(number, request, now);
		boolean knowsService = this.router.configuration()
			.flatMap((current) -> current.service(request.service()))
			.isPresent();
		if (!accepts || !knowsService) {
			this.scheduler.endProxied(active, Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE),
					now, effects);
			return;
		}
		this.activeRequests.put(number, active);
		effects.add(new EntryEffect.LimitRequestTime(number, active.timeLeft(now)));
		this.scheduler.place(active, "no target can take it", now, effects);
	}

	/**
	 * Handles a new connection to a target.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleConnected(TargetName target, Instant now, Effects effects) {
		if (this.reachability.recordConnected(target, now, effects)) {
			this.directory.find(target).map(TargetEntry::service).ifPresent(this::endEjections);
		}
	}

	private void endEjections(ServiceName service) {
		this.directory.all()
			.stream()
			.filter((entry) -> entry.service().equals(service))
			.forEach((entry) -> status(entry.name()).endEjection());
	}

	/**
	 * Handles a target that could not be connected when its path was tested.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleUnreached(TargetName target, Instant now, Effects effects) {
		this.reachability.recordFailedConnect(target, now, effects);
	}

	/**
	 * Handles a moment in which nothing arrives from any target.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleAllTargetsSilent(Instant now, Effects effects) {
		this.reachability.recordSilence(now, effects);
	}

	/**
	 * Returns whether this node reaches no target of a target's service.
	 * @param target the target
	 * @return true if it is known to reach none
	 */
	public boolean isUnreachable(TargetName target) {
		return this.directory.find(target)
			.map(TargetEntry::service)
			.filter(this.reachability::isUnreachable)
			.isPresent();
	}

	/**
	 * Returns whether the failures of a target may be the fault of this node's path.
	 * @param target the target
	 * @param now the current time
	 * @return true if they may be
	 */
	public boolean isPathInDoubt(TargetName target, Instant now) {
		return this.directory.find(target)
			.map(TargetEntry::service)
			.filter((service) -> this.reachability.isInDoubt(service, now))
			.isPresent();
	}

	/**
	 * Returns for how long this node has reached no target of a service that another node
	 * reaches.
	 * @param service the service
	 * @param now the current time
	 * @return the time; zero if this node reaches the service, or no other node does
	 */
	public Duration cutOffFor(ServiceName service, Instant now) {
		return this.proxySelector.isReachedElsewhere(service, now) ? this.reachability.unreachableFor(service, now)
				: Duration.ZERO;
	}

	/**
	 * Tests and reports the paths to unreachable services, and confirms which contents
	 * were lost with targets.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void tick(Instant now, Effects effects) {
		this.reachability.tick(now, effects);
		this.crashSuspicions.tick(now, effects);
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
		this.outcomes.record(request, target, end, now, effects);
		if (request.proxied().isPresent()) {
			this.scheduler.endProxied(request, Optional.of(target), end, now, effects);
		}
		else if (end instanceof AttemptEnd.Delivered delivered) {
			handleDelivered(request, AttemptPlace.at(target), delivered, now, effects);
		}
		else {
			this.scheduler.handleFailedAttempt(request, AttemptPlace.at(target), end, now, effects);
		}
	}

	/**
	 * Handles the end of an attempt through another node.
	 * @param ended the end of the attempt
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleProxiedAttemptEnd(EntryEvent.ProxiedAttemptEnded ended, Instant now, Effects effects) {
		DispatchedRequest request = this.activeRequests.get(ended.number());
		if (request == null || request.attempts() != ended.attempt() || request.proxy().isEmpty()) {
			return;
		}
		String node = request.proxy().get();
		this.proxySelector.recordEnded(node);
		request.endProxiedAttempt(ended.target());
		recordProxyFailure(request, node, ended, now);
		AttemptPlace place = AttemptPlace.through(node, ended.target());
		if (ended.end() instanceof AttemptEnd.Delivered delivered) {
			this.proxySelector.recordDelivered(node);
			handleDelivered(request, place, delivered, now, effects);
		}
		else {
			this.scheduler.handleFailedAttempt(request, place, ended.end(), now, effects);
		}
	}

	// An end without a target is that of the way to the other node.
	private void recordProxyFailure(DispatchedRequest request, String node, EntryEvent.ProxiedAttemptEnded ended,
			Instant now) {
		boolean admitsNone = ended.end() instanceof AttemptEnd.NotRun notRun && notRun.cause() == NotRunCause.NO_TARGET;
		if (ended.target().isPresent()) {
			return;
		}
		request.excludeNode(node);
		if (!admitsNone) {
			this.proxySelector.eject(node, now);
		}
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
		else if (message instanceof NodeMessage.ServicesUnreachable report) {
			this.proxySelector.handleMessage(report, now);
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
		this.proxySelector.updateNodes(peers);
	}

	/**
	 * Applies changed settings.
	 * @param settings the settings
	 */
	public void updateSettings(EntrySettings settings) {
		this.retryBudgets.updateSettings(settings);
	}

	private void handleDelivered(DispatchedRequest request, AttemptPlace place, AttemptEnd.Delivered delivered,
			Instant now, Effects effects) {
		this.activeRequests.remove(request.request().number());
		this.crashSuspicions.clear(request.request().contentHash(), effects);
		this.finalAnswers.recordDelivered(request, place, delivered, now, effects);
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
		this.stalledStreams.moveStreams(head, now, effects);
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
		if (request.target().isPresent() || request.proxy().isPresent()) {
			releaseAttempt(request);
			request.markMayHaveRun();
			effects.add(new EntryEffect.CancelAttempt(number, request.attempts()));
		}
		if (request.proxied().isPresent()) {
			this.scheduler.endProxied(request, request.target(), new AttemptEnd.Unknown("time is over", false), now,
					effects);
			return;
		}
		if (request.answerStarted() || request.failureHeld() || !request.mayHaveRun()) {
			this.scheduler.giveUp(request, "time is over", now, effects);
			return;
		}
		this.activeRequests.remove(number);
		this.finalAnswers.answerTimeout(request, now, effects);
	}

	private void releaseAttempt(DispatchedRequest request) {
		request.target().ifPresent((target) -> status(target).recordEnded());
		request.proxy().ifPresent(this.proxySelector::recordEnded);
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
			releaseAttempt(request);
			this.finalAnswers.recordAbandoned(request, now, effects);
		}
	}

	/**
	 * Drops a request of another node that has closed its connection.
	 * @param number the request's number
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleOriginDisconnected(long number, Instant now, Effects effects) {
		DispatchedRequest request = this.activeRequests.get(number);
		if (request != null) {
			releaseAttempt(request);
			this.scheduler.endProxied(request, request.target(), new AttemptEnd.Unknown("the origin left", false), now,
					effects);
		}
	}

	/**
	 * Handles a node that forwards streams to this one and has stopped sending.
	 * @param node the node's name
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleSilentProxy(String node, Instant now, Effects effects) {
		this.stalledStreams.handleSilentProxy(node, now, effects);
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
		this.stalledStreams.handleSilentTarget(target, source, now, effects);
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
		this.stalledStreams.handleReportedSilence(target, source, now, effects);
	}

	/**
	 * Handles what a target reports about itself with an answer.
	 * @param told the target and its report
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleTargetReport(EntryEvent.TargetReported told, Instant now, Effects effects) {
		TargetReport report = told.report();
		this.reachability.recordAnswer(told.target());
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
