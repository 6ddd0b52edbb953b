package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.ProxiedRequest;

/**
 * Starts second attempts of streams whose target, or whose proxy, has stopped sending, if
 * they can be resumed elsewhere. Other requests wait, because silence alone is no reason
 * to end an answer.
 */
final class StalledStreams {

	/** How long an observation of stalled targets is valid. */
	private static final Duration OBSERVATION_VALIDITY = Duration.ofMillis(300);

	/** How long a target is ejected whose answers have all paused, unless one goes on. */
	private static final Duration SILENT_TARGET_EJECTION = Duration.ofSeconds(2);

	private static final String TARGET_SILENT = "target silent";

	private static final String PROXY_SILENT = "proxy silent";

	private static final String GROUP_ENDED = "group ended";

	private final Map<Long, DispatchedRequest> activeRequests;

	private final TargetSelector targetSelector;

	private final ProxySelector proxySelector;

	private final AttemptScheduler scheduler;

	private final ParallelAttempts parallelAttempts;

	private final AttemptOutcomes outcomes;

	private Instant allStalledUntil = Instant.MIN;

	private StalledStreams(Map<Long, DispatchedRequest> activeRequests, TargetSelector targetSelector,
			ProxySelector proxySelector, AttemptScheduler scheduler, ParallelAttempts parallelAttempts,
			AttemptOutcomes outcomes) {
		this.activeRequests = activeRequests;
		this.targetSelector = targetSelector;
		this.proxySelector = proxySelector;
		this.scheduler = scheduler;
		this.parallelAttempts = parallelAttempts;
		this.outcomes = outcomes;
	}

	static StalledStreams of(Map<Long, DispatchedRequest> activeRequests, TargetSelector targetSelector,
			ProxySelector proxySelector, AttemptScheduler scheduler, ParallelAttempts parallelAttempts,
			AttemptOutcomes outcomes) {
		return new StalledStreams(activeRequests, targetSelector, proxySelector, scheduler, parallelAttempts, outcomes);
	}

	void handleSilentTarget(TargetName target, String source, Instant now, Effects effects) {
		TargetStatus status = this.targetSelector.status(target);
		status.ejectSilent(now, SILENT_TARGET_EJECTION);
		effects.log(LogEvent.TARGET_SILENT,
				"target=" + target + " in-flight=" + status.inFlight() + " source=" + source);
		resumableStreams((request) -> isAt(target, request))
			.forEach((request) -> this.outcomes.suspect(request, false, now, effects));
		if (!now.isBefore(this.allStalledUntil)) {
			resumeElsewhere(target, (request) -> true, TARGET_SILENT + " by " + source, now, effects);
		}
	}

	/**
	 * Handles a target whose silence lasts.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleLastingSilence(TargetName target, Instant now, Effects effects) {
		this.targetSelector.status(target).ejectSilent(now, SILENT_TARGET_EJECTION);
		resumeElsewhere(target, (request) -> true, TARGET_SILENT + " for long", now, effects);
	}

	/**
	 * Handles targets that have sent nothing for a short time. If these are all targets
	 * with streams, nothing tells a loss of the targets from a pause of them or of the
	 * path, and streams wait for a while: any other target may be as silent.
	 * @param stalled the targets
	 * @param now the current time
	 */
	void handleStalledTargets(EntryEvent.TargetsStalled stalled, Instant now) {
		Instant until = now.plus(OBSERVATION_VALIDITY);
		stalled.targets().forEach((target) -> this.targetSelector.status(target).markStalled(until));
		this.allStalledUntil = stalled.all() ? until : Instant.MIN;
	}

	void handleReportedSilence(TargetName target, String source, Instant now, Effects effects) {
		boolean hasStartedStream = this.activeRequests.values()
			.stream()
			.anyMatch((request) -> request.answerStarted() && isAt(target, request));
		if (!hasStartedStream) {
			handleSilentTarget(target, source, now, effects);
		}
	}

	private static boolean isAt(TargetName target, DispatchedRequest request) {
		return request.target().filter(target::equals).isPresent();
	}

	/**
	 * Resumes the streams of a group that has ended elsewhere. Its head may already have
	 * streams of its next group.
	 * @param head the head of the group
	 * @param group the group
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void resumeStreamsOfGroup(TargetName head, GroupKey group, Instant now, Effects effects) {
		resumeElsewhere(head, (request) -> request.group().filter(group::equals).isPresent(), GROUP_ENDED, now,
				effects);
	}

	private void resumeElsewhere(TargetName target, Predicate<DispatchedRequest> condition, String cause, Instant now,
			Effects effects) {
		for (DispatchedRequest request : resumableStreams(condition.and((each) -> isAt(target, each)))) {
			if (request.proxied().isPresent()) {
				reportStall(request, target, now, effects);
			}
			else {
				this.parallelAttempts.start(request, cause, now, effects);
			}
		}
	}

	/**
	 * Resumes the streams that are sent through a node elsewhere.
	 * @param node name of the node
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleSilentProxy(String node, Instant now, Effects effects) {
		this.proxySelector.eject(node, now);
		effects.log(LogEvent.PROXY_SILENT, "node=" + node);
		for (DispatchedRequest request : resumableStreams((each) -> each.proxy().filter(node::equals).isPresent())) {
			this.parallelAttempts.start(request, PROXY_SILENT, now, effects);
		}
	}

	/**
	 * Resumes a stream elsewhere whose target has stopped sending to the node through
	 * which it is sent.
	 * @param request the request
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleStalledBehindProxy(DispatchedRequest request, TargetName target, Instant now, Effects effects) {
		request.excludeTarget(target);
		if (request.isResumable()) {
			this.parallelAttempts.start(request, TARGET_SILENT + " " + target, now, effects);
		}
	}

	private List<DispatchedRequest> resumableStreams(Predicate<DispatchedRequest> condition) {
		return this.activeRequests.values().stream().filter(DispatchedRequest::isResumable).filter(condition).toList();
	}

	// Whether the stream goes on elsewhere is the decision of the node that has the
	// caller. It would find no other target where this node finds none.
	private void reportStall(DispatchedRequest request, TargetName target, Instant now, Effects effects) {
		if (!request.anotherAttemptMayFollow() || !this.scheduler.mayFindOtherTarget(request, now)) {
			return;
		}
		if (request.proxied().filter(ProxiedRequest::acceptsStallReports).isPresent()) {
			effects.add(new EntryEffect.ReportProxiedStall(request.request().number(), target));
		}
		else {
			endProxied(request, target, now, effects);
		}
	}

	private void endProxied(DispatchedRequest request, TargetName target, Instant now, Effects effects) {
		effects.add(new EntryEffect.CancelAttempt(request.request().number(), request.attempts()));
		this.targetSelector.status(target).recordEnded();
		request.endAttempt();
		AttemptEnd end = request.answerStarted() ? new AttemptEnd.Broken("silent", true, false)
				: new AttemptEnd.Unknown("silent", false);
		this.scheduler.endProxied(request, Optional.of(target), end, now, effects);
	}

}
