package sycamorehill.logic.entry;

import java.time.Instant;

import sycamorehill.logic.Effects;
import sycamorehill.logic.dispatch.RequestDispatcher;
import sycamorehill.logic.layout.GroupController;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEvent;

/**
 * Handles the events of requests, of callers and of other nodes.
 */
final class RequestEvents {

	private final NodeStage stage;

	private final RequestDispatcher requests;

	private final GroupController groups;

	private final DirectoryUpdates directoryUpdates;

	private final SilentTargets silentTargets;

	private final StartupRequestQueue startupRequests = new StartupRequestQueue();

	private RequestEvents(NodeStage stage, RequestDispatcher requests, GroupController groups,
			DirectoryUpdates directoryUpdates, SilentTargets silentTargets) {
		this.stage = stage;
		this.requests = requests;
		this.groups = groups;
		this.directoryUpdates = directoryUpdates;
		this.silentTargets = silentTargets;
	}

	static RequestEvents of(NodeStage stage, RequestDispatcher requests, GroupController groups,
			DirectoryUpdates directoryUpdates, SilentTargets silentTargets) {
		return new RequestEvents(stage, requests, groups, directoryUpdates, silentTargets);
	}

	/**
	 * Handles an event if it concerns a request.
	 * @param event the event
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return true if it does
	 */
	boolean handle(EntryEvent event, Instant now, Effects effects) {
		return handleCallerEvent(event, now, effects) || handleTargetEvent(event, now, effects)
				|| handleProxyEvent(event, now, effects);
	}

	private boolean handleCallerEvent(EntryEvent event, Instant now, Effects effects) {
		if (event instanceof EntryEvent.RequestArrived arrived) {
			this.groups.recordTraffic(now);
			handleRequest(arrived.request(), now, effects);
		}
		else if (event instanceof EntryEvent.CallerDisconnected gone) {
			this.startupRequests.remove(gone.number());
			this.requests.handleCallerDisconnected(gone.number(), gone.cutByNode(), now, effects);
		}
		else if (event instanceof EntryEvent.TimedOut timedOut) {
			this.requests.handleTimeout(timedOut.number(), now, effects);
		}
		else {
			return false;
		}
		return true;
	}

	private boolean handleTargetEvent(EntryEvent event, Instant now, Effects effects) {
		if (event instanceof EntryEvent.TargetConnected connected) {
			this.requests.handleConnected(connected.target(), now, effects);
		}
		else if (event instanceof EntryEvent.TargetUnreached unreached) {
			this.requests.handleUnreached(unreached.target(), now, effects);
		}
		else if (event instanceof EntryEvent.AllTargetsSilent) {
			this.requests.paths().handleAllTargetsSilent(now, effects);
		}
		else if (event instanceof EntryEvent.AnswerStarted begun) {
			this.requests.handleFirstEvent(begun.number(), now);
		}
		else if (event instanceof EntryEvent.AnswerNotResumable unnumbered) {
			this.requests.handleNotResumable(unnumbered.number());
		}
		else if (event instanceof EntryEvent.AttemptPrevailed prevailed) {
			this.requests.handleAttemptPrevailed(prevailed.number(), prevailed.attempt(), now, effects);
		}
		else if (event instanceof EntryEvent.AttemptEnded ended) {
			this.requests.handleAttemptEnd(ended.number(), ended.attempt(), ended.end(), now, effects);
		}
		else if (event instanceof EntryEvent.TargetReported received) {
			handleTargetReport(received, now, effects);
		}
		else if (event instanceof EntryEvent.TargetsStalled stalled) {
			this.requests.handleStalledTargets(stalled, now);
		}
		else if (event instanceof EntryEvent.TargetResumed resumed) {
			this.requests.handleResumedTarget(resumed.target(), now);
		}
		else if (event instanceof EntryEvent.TargetStillSilent silent) {
			this.silentTargets.handleLastingSilence(silent, now, effects);
		}
		else if (event instanceof EntryEvent.TargetSilent silent) {
			this.silentTargets.handleSilence(silent, now, effects);
		}
		else {
			return false;
		}
		return true;
	}

	private boolean handleProxyEvent(EntryEvent event, Instant now, Effects effects) {
		if (event instanceof EntryEvent.ProxiedRequestArrived arrived) {
			this.groups.recordTraffic(now);
			boolean accepts = this.stage.isInitialized() && !this.stage.isStopping();
			this.requests.proxiedRequests().handleArrival(arrived.number(), arrived.request(), accepts, now, effects);
		}
		else if (event instanceof EntryEvent.ProxiedAttemptStalled stalled) {
			this.requests.proxiedRequests().handleStalled(stalled, now, effects);
		}
		else if (event instanceof EntryEvent.ProxiedAttemptEnded ended) {
			this.requests.proxiedRequests().handleAttemptEnd(ended, now, effects);
		}
		else if (event instanceof EntryEvent.OriginDisconnected gone) {
			this.requests.proxiedRequests().handleOriginDisconnected(gone.number(), now, effects);
		}
		else if (event instanceof EntryEvent.ProxySilent silent) {
			this.requests.proxiedRequests().handleSilentNode(silent.node(), now, effects);
		}
		else {
			return false;
		}
		return true;
	}

	// A request that arrives late in a planned stop could be aborted when the process
	// exits, and another node can serve the caller at once.
	private void handleRequest(CallerRequest request, Instant now, Effects effects) {
		this.requests.setEnd(this.stage.endsAt());
		if (!this.stage.takesRequests(now)) {
			this.requests.refuseStopping(request, effects);
			return;
		}
		boolean mayWait = !this.stage.isInitialized() && this.directoryUpdates.isStoreReachable();
		if (!mayWait || !this.startupRequests.add(request, now)) {
			this.requests.handleRequest(request, now, now, effects);
		}
	}

	/**
	 * Handles the requests that have waited for the start of the node for long enough.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void releaseStartupRequests(Instant now, Effects effects) {
		boolean all = this.stage.isInitialized() || !this.directoryUpdates.isStoreReachable();
		for (StartupRequestQueue.QueuedRequest request : this.startupRequests.takeDue(all, now)) {
			this.requests.handleRequest(request.request(), request.arrivedAt(), now, effects);
		}
	}

	private void handleTargetReport(EntryEvent.TargetReported told, Instant now, Effects effects) {
		this.requests.handleTargetReport(told, now, effects);
		if (told.report().leaving()) {
			this.directoryUpdates.applyLeaving(told.target(), now, effects);
		}
	}

}
