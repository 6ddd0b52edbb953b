package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.logic.crash.CrashSuspicions;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.PlacementExplanation;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.model.serving.UseReport;

/**
 * Handles each request from its arrival to its final answer: finds its route and
 * workspace, selects targets, retries where that is safe, and refuses requests that can't
 * be served.
 */
public final class RequestDispatcher {

	private static final int UNAVAILABLE = 503;

	private static final String STOPPING_CAUSE = FinalAnswers.NOT_RUN_PREFIX + "this node stops";

	/**
	 * Retry-After for requests that another node can serve: almost at once, but not in a
	 * tight loop.
	 */
	private static final Duration RETRY_ELSEWHERE_AFTER = Duration.ofMillis(50);

	private final TargetDirectory directory;

	private final HomeRegionRule homeRegionRule;

	private final TargetSelector targetSelector;

	private final RandomGenerator random;

	private final Map<Long, DispatchedRequest> activeRequests = new HashMap<>();

	private final RetryBudgets retryBudgets;

	private final FinalAnswers finalAnswers;

	private final RequestRouter router;

	private final TargetPaths paths;

	private final CrashSuspicions crashSuspicions;

	private final AttemptOutcomes outcomes;

	private final AttemptScheduler scheduler;

	private final ParallelAttempts parallelAttempts;

	private final StalledStreams stalledStreams;

	private final ProxiedRequests proxiedRequests;

	private final PlacementExplainer explainer;

	private Optional<Instant> endsAt = Optional.empty();

	private RequestDispatcher(EntrySettings settings, TargetDirectory directory, RandomGenerator random) {
		this.directory = directory;
		this.random = random;
		this.retryBudgets = RetryBudgets.of(settings);
		this.finalAnswers = FinalAnswers.of(random);
		this.homeRegionRule = HomeRegionRule.of(settings);
		this.targetSelector = TargetSelector.of(settings, directory, this.homeRegionRule, random);
		this.paths = TargetPaths.of(settings, directory, this.targetSelector, this.homeRegionRule, random);
		this.crashSuspicions = CrashSuspicions.of(settings.nodeName(), directory, this.paths.reachability(), random);
		this.router = RequestRouter.of(this.crashSuspicions, this.finalAnswers::retryAfter);
		this.outcomes = AttemptOutcomes.of(directory, this.targetSelector, this.paths.reachability(),
				this.crashSuspicions);
		this.scheduler = AttemptScheduler.of(this.targetSelector,
				AttemptStarter.of(settings.nodeName(), this.targetSelector, this.crashSuspicions), this.paths,
				this.retryBudgets, this.finalAnswers, this.crashSuspicions, this.activeRequests);
		this.parallelAttempts = ParallelAttempts.of(this.targetSelector, this.paths.proxySelector(), this.scheduler);
		this.stalledStreams = StalledStreams.of(this.activeRequests, this.targetSelector, this.paths.proxySelector(),
				this.scheduler, this.parallelAttempts, this.outcomes);
		this.proxiedRequests = ProxiedRequests.of(this.router.knownServices(), this.targetSelector,
				this.paths.proxySelector(), this.scheduler, this.parallelAttempts, this.stalledStreams,
				this.activeRequests);
		this.explainer = PlacementExplainer.of(settings, this.router, this.targetSelector, this.paths,
				this.homeRegionRule);
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
	 * Returns the paths to the targets.
	 * @return the paths
	 */
	public TargetPaths paths() {
		return this.paths;
	}

	/**
	 * Returns the rule by which home regions restrict requests.
	 * @return the rule
	 */
	public HomeRegionRule homeRegions() {
		return this.homeRegionRule;
	}

	/**
	 * Handles a new connection to a target.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleConnected(TargetName target, Instant now, Effects effects) {
		this.paths.handleConnected(target, now, effects);
		this.crashSuspicions.recordConnected(target, now);
	}

	/**
	 * Handles a target that could not be connected when its path was tested.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleUnreached(TargetName target, Instant now, Effects effects) {
		this.paths.handleUnreached(target, now, effects);
		this.crashSuspicions.recordRefused(target, now, effects);
	}

	/**
	 * Returns the requests that are sent through other nodes, or come through them.
	 * @return the requests
	 */
	public ProxiedRequests proxiedRequests() {
		return this.proxiedRequests;
	}

	/**
	 * Applies a configuration to all later requests.
	 * @param configuration the configuration
	 */
	public void adopt(Configuration configuration) {
		this.router.adopt(configuration);
		this.targetSelector.shares().adopt(configuration);
		this.targetSelector.coldTargets().adopt(configuration);
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
		RequestRouter.Decision decision = this.router.route(request, now, effects);
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
		DispatchedRequest active = DispatchedRequest.of(request, routed.route(), routed.parameters(service),
				routed.workspace(), arrivedAt);
		if (!fitsBeforeEnd(active, now)) {
			refuseStopping(request, effects);
			return;
		}
		this.activeRequests.put(request.number(), active);
		effects.add(new EntryEffect.LimitRequestTime(request.number(), active.timeLeft(now)));
		this.retryBudgets.of(service).recordRequest(now);
		this.scheduler.place(active, AttemptScheduler.NO_TARGET_CAUSE, now, effects);
	}

	// An order that is cut off may not be repeated. Other requests last far less than
	// their time limit, as a rule, and the time behind the last one taken is for them.
	private boolean fitsBeforeEnd(DispatchedRequest request, Instant now) {
		return request.route().kind() != RequestKind.NON_IDEMPOTENT
				|| this.endsAt.filter((end) -> now.plus(request.timeLeft(now)).isAfter(end)).isEmpty();
	}

	/**
	 * Sets when this node ends. What could run until later is refused.
	 * @param end the time; empty if the node isn't stopping
	 */
	public void setEnd(Optional<Instant> end) {
		this.endsAt = end;
	}

	/**
	 * Refuses a request because this node is stopping; another node can serve it at once.
	 * @param request the request
	 * @param effects receives the resulting effects
	 */
	public void refuseStopping(CallerRequest request, Effects effects) {
		refuseUnrouted(request,
				new RequestRouter.Refused(UNAVAILABLE, STOPPING_CAUSE, Optional.of(RETRY_ELSEWHERE_AFTER)), effects);
	}

	/**
	 * Explains where a request would go now, without any effect.
	 * @param request the request
	 * @param accepts whether this node accepts new requests
	 * @param now the current time
	 * @return the explanation
	 */
	public PlacementExplanation explain(CallerRequest request, boolean accepts, Instant now) {
		return accepts ? this.explainer.explain(request, now) : this.explainer.refused(UNAVAILABLE, STOPPING_CAUSE);
	}

	private void refuseUnrouted(CallerRequest request, RequestRouter.Refused refused, Effects effects) {
		String version = this.router.configuration().map((current) -> String.valueOf(current.version())).orElse("none");
		this.finalAnswers.refuseUnrouted(request,
				new EntryEffect.Answer(request.number(), refused.status(), refused.detail(), refused.retryAfter()),
				version, effects);
	}

	/**
	 * Tests and reports the paths to unreachable services, decides which targets have
	 * crashed, and logs the share of the retry budget.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void tick(Instant now, Effects effects) {
		this.retryBudgets.logShare(now, effects);
		this.targetSelector.tick(now, effects);
		this.paths.tick(now, effects);
		this.outcomes.reportSoundRuns(this.activeRequests.values(), now, effects);
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
		request.recordArrival(now);
		request.markAttemptAnswered(now);
		if (!request.answerStarted()) {
			request.markAnswerStarted(Duration.between(request.arrivedAt(), now));
		}
		Duration time = Duration.between(request.attemptStartedAt(), now);
		request.target().ifPresent((target) -> {
			status(target).recordFirstAnswer(time, now);
			this.targetSelector.slowStarts().recordFirstAnswer(request, target, time, now);
		});
	}

	/**
	 * Handles an event without a number, which another target would send once more.
	 * @param number the request's number
	 */
	public void handleNotResumable(long number) {
		Optional.ofNullable(this.activeRequests.get(number)).ifPresent(DispatchedRequest::markNotResumable);
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
		if (request == null || !request.makeCurrent(attempt) || request.target().isEmpty()) {
			return;
		}
		TargetName target = request.target().get();
		status(target).recordEnded();
		request.endAttempt();
		request.transit().settle(now);
		if (end.mayHaveArrived()) {
			request.recordArrival(now);
		}
		this.outcomes.record(request, target, end, now, effects);
		if (request.proxied().isPresent()) {
			this.scheduler.endProxied(request, Optional.of(target), end, now, effects);
		}
		else {
			this.parallelAttempts.handleAttemptEnd(request, AttemptPlace.at(target), end, now, effects);
		}
	}

	/**
	 * Handles that one of two attempts of a request went on with the answer.
	 * @param number the request's number
	 * @param attempt the attempt's number
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleAttemptPrevailed(long number, int attempt, Instant now, Effects effects) {
		Optional.ofNullable(this.activeRequests.get(number))
			.ifPresent((request) -> this.parallelAttempts.handlePrevailed(request, attempt, now, effects));
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
			this.targetSelector.shares().handleReport(loads, now);
		}
		else if (message instanceof NodeMessage.SummedLoads added) {
			added.sums().forEach((sum) -> handleSum(sum, now));
		}
		else if (message instanceof NodeMessage.RequestPlaced placed) {
			this.targetSelector.statuses().handleReport(placed, now);
		}
		else if (message instanceof NodeMessage.TargetLimited limited) {
			this.targetSelector.rateLimits().handleMessage(limited, now, effects);
		}
		else if (message instanceof NodeMessage.TargetLost lost) {
			this.crashSuspicions.handleMessage(lost, now);
		}
		else if (message instanceof NodeMessage.TraitsSound sound) {
			this.crashSuspicions.handleMessage(sound, now, effects);
		}
		else if (message instanceof NodeMessage.TraitsTried tried) {
			this.crashSuspicions.handleMessage(tried, now);
		}
		else if (message instanceof NodeMessage.ServicesUnreachable report) {
			this.paths.proxySelector().handleMessage(report, now);
		}
	}

	private void handleSum(LoadSum sum, Instant now) {
		this.targetSelector.statuses().handleReport(sum, now);
		this.targetSelector.shares().handleReport(sum, now);
	}

	/**
	 * Returns which targets were lost and with which requests, for another node.
	 * @param now the current time
	 * @return the messages to it, the newest losses first
	 */
	public List<NodeMessage.TargetLost> createCrashReports(Instant now) {
		return this.crashSuspicions.createReports(now);
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
	 * Returns the recent use at this node by workspace.
	 * @param now the current time
	 * @return the use; empty if there was none, or there is only one workspace
	 */
	public UseReport workspaceUse(Instant now) {
		return this.targetSelector.shares().report(now);
	}

	/**
	 * Divides the rate limits among the current nodes.
	 * @param liveNodes number of live nodes, including this one
	 * @param peers the other nodes, as far as each is known
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void updateNodes(int liveNodes, List<NodeRecord> peers, Instant now, Effects effects) {
		this.targetSelector.updateNodes(liveNodes, peers, now, effects);
		this.paths.proxySelector().updateNodes(peers);
	}

	/**
	 * Changes this node's share of the retries of all nodes.
	 * @param share the share
	 */
	public void updateRetryShare(RetryShare share) {
		this.retryBudgets.updateShare(share);
	}

	/**
	 * Changes the nodes among which the requests of cold targets are divided.
	 * @param nodes the nodes
	 */
	public void updateCountedNodes(CountedNodes nodes) {
		this.targetSelector.coldTargets().updateNodes(nodes);
	}

	/**
	 * Handles a list of all targets that the store has returned.
	 * @param entries the targets
	 * @param now the current time
	 */
	public void handleTargetList(List<TargetEntry> entries, Instant now) {
		this.targetSelector.coldTargets().handleList(entries, now);
	}

	/**
	 * Handles the entry of a target that the store has returned.
	 * @param entry the entry
	 * @param now the current time
	 */
	public void handleTargetEntry(TargetEntry entry, Instant now) {
		this.targetSelector.coldTargets().handleEntry(entry, now);
	}

	/**
	 * Returns the number of targets that are cold.
	 * @return the number of targets
	 */
	public int countColdTargets() {
		return this.targetSelector.coldTargets().count();
	}

	/**
	 * Returns the number of targets in slow start.
	 * @return the number of targets
	 */
	public int countSlowStarts() {
		return this.targetSelector.slowStarts().count();
	}

	/**
	 * Returns this node's share of the retries of all nodes.
	 * @return the share
	 */
	public RetryShare retryShare() {
		return this.retryBudgets.share();
	}

	/**
	 * Applies changed settings.
	 * @param settings the settings
	 */
	public void updateSettings(EntrySettings settings) {
		this.retryBudgets.updateSettings(settings);
		this.homeRegionRule.updateRegions(settings.regions());
		this.targetSelector.coldTargets().updateSettings(settings);
	}

	/**
	 * Handles the end of evacuations. The targets of these data centres may be cold.
	 * @param dataCentres the data centres, to which requests may be sent again
	 * @param now the current time
	 */
	public void handleEvacuationsEnded(Set<DataCentreName> dataCentres, Instant now) {
		this.targetSelector.handleEvacuationsEnded(dataCentres, now);
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
		this.stalledStreams.resumeStreamsOfGroup(head, new GroupKey(group, epoch), now, effects);
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
			this.parallelAttempts.cancelOther(request, now, effects);
			this.parallelAttempts.release(request.currentAttempt(), now);
			request.recordArrival(now);
			request.markMayHaveRun();
			effects.add(new EntryEffect.CancelAttempt(number, request.currentAttempt().number()));
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

	/**
	 * Drops a request whose caller's connection was closed.
	 * @param number the request's number
	 * @param cutByNode whether this node closed it rather than the caller
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleCallerDisconnected(long number, boolean cutByNode, Instant now, Effects effects) {
		DispatchedRequest request = this.activeRequests.remove(number);
		if (request != null) {
			this.parallelAttempts.cancelOther(request, now, effects);
			this.parallelAttempts.release(request.currentAttempt(), now);
			request.recordArrival(now);
			if (cutByNode) {
				this.finalAnswers.recordCut(request, now, effects);
			}
			else {
				this.finalAnswers.recordAbandoned(request, now, effects);
			}
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
		this.stalledStreams.handleSilentTarget(target, source, now, effects);
	}

	/**
	 * Handles a target whose silence lasts. Its streams wait no longer for it, even if
	 * all other targets were silent too.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleLastingSilence(TargetName target, Instant now, Effects effects) {
		this.stalledStreams.handleLastingSilence(target, now, effects);
	}

	/**
	 * Handles a silent target that has sent something again.
	 * @param target the target
	 * @param now the current time
	 */
	public void handleResumedTarget(TargetName target, Instant now) {
		status(target).endSilence(now);
	}

	/**
	 * Handles targets that have sent nothing for a short time. No stream leaves another
	 * target for them.
	 * @param stalled the targets
	 * @param now the current time
	 */
	public void handleStalledTargets(EntryEvent.TargetsStalled stalled, Instant now) {
		this.stalledStreams.handleStalledTargets(stalled, now);
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
		this.paths.reachability().recordAnswer(told.target());
		report.load().ifPresent((load) -> {
			status(told.target()).recordReport(load, now);
			this.targetSelector.slowStarts().recordReport(told.target(), load, now);
		});
		report.rest().ifPresent((rest) -> handleRest(told.target(), rest, now, effects));
		Optional<DispatchedRequest> answered = Optional.ofNullable(this.activeRequests.get(told.number()))
			.filter((request) -> request.target().filter(told.target()::equals).isPresent());
		answered.ifPresent((request) -> request.recordArrival(now));
		Instant sentAt = answered.map(DispatchedRequest::attemptStartedAt).orElse(Instant.MIN);
		this.crashSuspicions.recordAnswer(told.target(), sentAt, now);
		this.targetSelector.rateLimits().handleTargetReport(told.target(), report.rateLimit(), sentAt, now, effects);
	}

	private void handleRest(TargetName target, Duration rest, Instant now, Effects effects) {
		status(target).rest(now, rest);
		effects.log(LogEvent.TARGET_RESTING, "target=" + target + " rest-millis=" + rest.toMillis());
	}

	/**
	 * Handles the end of a target's process: removes its rate limit, and its status
	 * unless requests are in flight there.
	 * @param entry the last entry of the process
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleTargetEnded(TargetEntry entry, Instant now, Effects effects) {
		this.targetSelector.forget(entry.name());
		this.targetSelector.coldTargets().handleTargetEnded(entry, now);
		this.crashSuspicions.handleTargetEnded(entry, now, effects);
	}

	private TargetStatus status(TargetName target) {
		return this.targetSelector.status(target);
	}

}
