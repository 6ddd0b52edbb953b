package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.Effects;
import sycamorehill.logic.crash.CrashSuspicions;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.Workspace;

/**
 * Starts the attempts of requests at the targets that were selected for them.
 */
final class AttemptStarter {

	/**
	 * Lowest of the priorities 0 to 9 that targets distinguish; a request without a
	 * priority has 5.
	 */
	private static final int LOWEST_PRIORITY = 9;

	/** Lowest priority of requests that can be on time; late requests come after it. */
	private static final int LOWEST_ON_TIME_PRIORITY = 8;

	/**
	 * Number of route priorities that are distinguished within each workspace priority. A
	 * workspace's priority takes precedence over a route's.
	 */
	private static final int PRIORITIES_PER_WORKSPACE = 3;

	private final String nodeName;

	private final TargetSelector targetSelector;

	private final CrashSuspicions crashSuspicions;

	private AttemptStarter(String nodeName, TargetSelector targetSelector, CrashSuspicions crashSuspicions) {
		this.nodeName = nodeName;
		this.targetSelector = targetSelector;
		this.crashSuspicions = crashSuspicions;
	}

	static AttemptStarter of(String nodeName, TargetSelector targetSelector, CrashSuspicions crashSuspicions) {
		return new AttemptStarter(nodeName, targetSelector, crashSuspicions);
	}

	/**
	 * Starts an attempt at the selected target.
	 * @param request the request
	 * @param selection the target, which admits the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void start(DispatchedRequest request, TargetSelector.Selection selection, Instant now, Effects effects) {
		Candidate candidate = selection.choice().orElseThrow().candidate();
		TargetName name = candidate.entry().name();
		int attempt = request.startAttempt(candidate.entry(), selection.choice().orElseThrow().timeToFirstAnswer(),
				now);
		this.targetSelector.recordSent(request, candidate, now);
		if (request.proxied().isEmpty()) {
			this.crashSuspicions.recordSent(request.request(), now, effects);
		}
		candidate.engines().ifPresent((engines) -> recordPrefill(request, candidate, engines, now, effects));
		int connections = request.serviceParameters().maximumConnections();
		RequestKind kind = request.route().kind();
		boolean anotherAttemptMayFollow = kind == RequestKind.IDEMPOTENT && request.anotherAttemptMayFollow();
		effects.add(new EntryEffect.StartAttempt(request.request().number(), attempt,
				new TargetAddress(name, candidate.entry().address()), candidate.entry().startMillis(), connections,
				new EntryEffect.Handling(kind, anotherAttemptMayFollow), request.workspace().map(Workspace::name),
				priority(request, selection.admission())));
	}

	/**
	 * Starts an attempt through another node, which selects the target.
	 * @param request the request
	 * @param node the other node
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void startThrough(DispatchedRequest request, EntryEffect.ProxyNode node, Instant now, Effects effects) {
		ProxiedRequest proxied = request.toProxied(this.nodeName, now);
		int attempt = request.startAttemptThrough(node.name(), now);
		this.crashSuspicions.recordSent(request.request(), now, effects);
		effects.add(new EntryEffect.StartProxiedAttempt(request.request().number(), attempt, node, proxied));
		effects.log(LogEvent.REQUEST_PROXIED, FinalAnswers.describe(request, now) + " node=" + node.name());
	}

	// The prefill of prompts that several nodes send to one target within some
	// milliseconds runs together and delays the target's streams. Load reports arrive too
	// late to prevent that.
	private void recordPrefill(DispatchedRequest request, Candidate candidate, EngineParameters engines, Instant now,
			Effects effects) {
		TargetName name = candidate.entry().name();
		Duration prefillTime = Placement.prefillTime(engines, candidate.model().orElseThrow(),
				request.request().tokenCounts());
		this.targetSelector.status(name).addPrefill(prefillTime, now);
		if (this.targetSelector.hasFewNodes()) {
			effects.add(new EntryEffect.Broadcast(new NodeMessage.RequestPlaced(this.nodeName, name, prefillTime)));
		}
	}

	private static int priority(DispatchedRequest request, Admission.Decision admission) {
		if (admission == Admission.Decision.LATE) {
			return LOWEST_PRIORITY;
		}
		int workspacePriority = request.workspace().map(Workspace::priority).orElse(1);
		return Math.min(LOWEST_ON_TIME_PRIORITY,
				workspacePriority * PRIORITIES_PER_WORKSPACE + Math.min(2, request.route().priority()));
	}

}
