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
import sycamorehill.model.serving.RequestKind;

/**
 * Moves streams whose target, or whose proxy, has stopped sending. Streams that can be
 * resumed elsewhere are moved. Other requests wait, because silence alone is no reason to
 * end an answer.
 */
final class StalledStreams {

	/** How long a target is ejected whose answers have all paused. */
	private static final Duration SILENT_TARGET_EJECTION = Duration.ofSeconds(2);

	private static final String TARGET_SILENT = "target silent";

	private static final String PROXY_SILENT = "proxy silent";

	private static final String GROUP_ENDED = "group ended";

	private final Map<Long, DispatchedRequest> activeRequests;

	private final TargetSelector targetSelector;

	private final ProxySelector proxySelector;

	private final AttemptScheduler scheduler;

	private final AttemptOutcomes outcomes;

	private StalledStreams(Map<Long, DispatchedRequest> activeRequests, TargetSelector targetSelector,
			ProxySelector proxySelector, AttemptScheduler scheduler, AttemptOutcomes outcomes) {
		this.activeRequests = activeRequests;
		this.targetSelector = targetSelector;
		this.proxySelector = proxySelector;
		this.scheduler = scheduler;
		this.outcomes = outcomes;
	}

	static StalledStreams of(Map<Long, DispatchedRequest> activeRequests, TargetSelector targetSelector,
			ProxySelector proxySelector, AttemptScheduler scheduler, AttemptOutcomes outcomes) {
		return new StalledStreams(activeRequests, targetSelector, proxySelector, scheduler, outcomes);
	}

	void handleSilentTarget(TargetName target, String source, Instant now, Effects effects) {
		TargetStatus status = this.targetSelector.status(target);
		status.eject(now, SILENT_TARGET_EJECTION);
		effects.log(LogEvent.TARGET_SILENT,
				"target=" + target + " in-flight=" + status.inFlight() + " source=" + source);
		resumableStreams((request) -> isAt(target, request))
			.forEach((request) -> this.outcomes.suspect(request, false, now, effects));
		moveStreams(target, (request) -> true, TARGET_SILENT + " by " + source, now, effects);
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
	 * Moves the streams of a group that has ended. Its head may already have streams of
	 * its next group.
	 * @param head the head of the group
	 * @param group the group
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void moveStreamsOfGroup(TargetName head, GroupKey group, Instant now, Effects effects) {
		moveStreams(head, (request) -> request.group().filter(group::equals).isPresent(), GROUP_ENDED, now, effects);
	}

	private void moveStreams(TargetName target, Predicate<DispatchedRequest> condition, String cause, Instant now,
			Effects effects) {
		for (DispatchedRequest request : resumableStreams(condition.and((each) -> isAt(target, each)))) {
			if (request.proxied().isPresent()) {
				endProxied(request, target, now, effects);
			}
			else {
				takeAlternative(request, now, effects).ifPresent((next) -> {
					effects.add(new EntryEffect.CancelAttempt(request.request().number(), request.attempts()));
					this.targetSelector.status(target).recordEnded();
					request.endAttempt();
					moveOn(request, AttemptPlace.at(target), next, cause, now, effects);
				});
			}
		}
	}

	/**
	 * Moves the streams that are sent through a node.
	 * @param node name of the node
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleSilentProxy(String node, Instant now, Effects effects) {
		this.proxySelector.eject(node, now);
		effects.log(LogEvent.PROXY_SILENT, "node=" + node);
		for (DispatchedRequest request : resumableStreams((each) -> each.proxy().filter(node::equals).isPresent())) {
			takeAlternative(request, now, effects).ifPresent((next) -> {
				effects.add(new EntryEffect.CancelAttempt(request.request().number(), request.attempts()));
				this.proxySelector.recordEnded(node);
				request.endProxiedAttempt(Optional.empty());
				moveOn(request, AttemptPlace.through(node, Optional.empty()), next, PROXY_SILENT, now, effects);
			});
		}
	}

	private Optional<AlternativePlace> takeAlternative(DispatchedRequest request, Instant now, Effects effects) {
		return this.scheduler.findAlternative(request, now)
			.filter((place) -> this.scheduler.takeRetry(request, now, effects));
	}

	private List<DispatchedRequest> resumableStreams(Predicate<DispatchedRequest> condition) {
		return this.activeRequests.values()
			.stream()
			.filter((request) -> request.route().kind() == RequestKind.RESUMABLE_STREAM)
			.filter(condition)
			.toList();
	}

	private void moveOn(DispatchedRequest request, AttemptPlace place, AlternativePlace next, String cause, Instant now,
			Effects effects) {
		request.countReachedTarget();
		request.markMayHaveRun();
		this.scheduler.logRetry(request, place, cause, now, effects);
		this.scheduler.startAt(request, next, now, effects);
	}

	// Whether the stream goes on elsewhere is the decision of the node that has the
	// caller. It would find no other target where this node finds none.
	private void endProxied(DispatchedRequest request, TargetName target, Instant now, Effects effects) {
		if (!request.anotherAttemptMayFollow() || !this.scheduler.mayFindOtherTarget(request, now)) {
			return;
		}
		effects.add(new EntryEffect.CancelAttempt(request.request().number(), request.attempts()));
		this.targetSelector.status(target).recordEnded();
		request.endAttempt();
		AttemptEnd end = request.answerStarted() ? new AttemptEnd.Broken("silent", true, false)
				: new AttemptEnd.Unknown("silent", false);
		this.scheduler.endProxied(request, Optional.of(target), end, now, effects);
	}

}
