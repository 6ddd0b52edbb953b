package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.ServiceParameters;

/**
 * Handles requests that are sent through another node: at the node that has the caller,
 * and at the other one, which only selects the target.
 */
public final class ProxiedRequests {

	private final KnownServices knownServices;

	private final TargetSelector targetSelector;

	private final ProxySelector proxySelector;

	private final AttemptScheduler scheduler;

	private final ParallelAttempts parallelAttempts;

	private final StalledStreams stalledStreams;

	private final Map<Long, DispatchedRequest> activeRequests;

	private ProxiedRequests(KnownServices knownServices, TargetSelector targetSelector, ProxySelector proxySelector,
			AttemptScheduler scheduler, ParallelAttempts parallelAttempts, StalledStreams stalledStreams,
			Map<Long, DispatchedRequest> activeRequests) {
		this.knownServices = knownServices;
		this.targetSelector = targetSelector;
		this.proxySelector = proxySelector;
		this.scheduler = scheduler;
		this.parallelAttempts = parallelAttempts;
		this.stalledStreams = stalledStreams;
		this.activeRequests = activeRequests;
	}

	static ProxiedRequests of(KnownServices knownServices, TargetSelector targetSelector, ProxySelector proxySelector,
			AttemptScheduler scheduler, ParallelAttempts parallelAttempts, StalledStreams stalledStreams,
			Map<Long, DispatchedRequest> activeRequests) {
		return new ProxiedRequests(knownServices, targetSelector, proxySelector, scheduler, parallelAttempts,
				stalledStreams, activeRequests);
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
	public void handleArrival(long number, ProxiedRequest request, boolean accepts, Instant now, Effects effects) {
		Optional<ServiceParameters> service = this.knownServices.find(request.service(), request.model());
		DispatchedRequest active = DispatchedRequest.of(number, request,
				service.orElseGet(() -> ServiceParameters.unknown(request.service())), now);
		if (!accepts || service.isEmpty()) {
			this.scheduler.endProxied(active, Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE),
					now, effects);
			return;
		}
		this.activeRequests.put(number, active);
		effects.add(new EntryEffect.LimitRequestTime(number, active.timeLeft(now)));
		this.scheduler.place(active, AttemptScheduler.NO_TARGET_CAUSE, now, effects);
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
			request.target().ifPresent((target) -> this.targetSelector.status(target).recordEnded());
			this.scheduler.endProxied(request, request.target(), new AttemptEnd.Unknown("the origin left", false), now,
					effects);
		}
	}

	/**
	 * Handles the end of an attempt through another node.
	 * @param ended the end of the attempt
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleAttemptEnd(EntryEvent.ProxiedAttemptEnded ended, Instant now, Effects effects) {
		DispatchedRequest request = this.activeRequests.get(ended.number());
		if (request == null || !request.makeCurrent(ended.attempt()) || request.proxy().isEmpty()) {
			return;
		}
		String node = request.proxy().get();
		this.proxySelector.recordEnded(node);
		request.endProxiedAttempt(ended.target());
		if (ended.end().mayHaveArrived()) {
			request.recordArrival(now);
		}
		if (ended.end() instanceof AttemptEnd.Delivered) {
			this.proxySelector.recordDelivered(node);
		}
		else if (ended.target().isEmpty()) {
			recordNodeFailure(request, node, ended.end(), now);
		}
		this.parallelAttempts.handleAttemptEnd(request, AttemptPlace.through(node, ended.target()), ended.end(), now,
				effects);
	}

	// An end without a target is that of the other node, or of the way to it.
	private void recordNodeFailure(DispatchedRequest request, String node, AttemptEnd end, Instant now) {
		request.excludeNode(node);
		boolean hasNoTarget = end instanceof AttemptEnd.NotRun notRun && notRun.cause() == NotRunCause.NO_TARGET;
		if (!hasNoTarget) {
			this.proxySelector.eject(node, now);
		}
	}

	/**
	 * Handles that the target of an attempt through another node has stopped sending.
	 * @param stalled the stalled attempt
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleStalled(EntryEvent.ProxiedAttemptStalled stalled, Instant now, Effects effects) {
		DispatchedRequest request = this.activeRequests.get(stalled.number());
		if (request != null && request.currentAttempt().number() == stalled.attempt()) {
			this.stalledStreams.handleStalledBehindProxy(request, stalled.target(), now, effects);
		}
	}

	/**
	 * Handles a node that forwards streams to this one and has stopped sending.
	 * @param node the node's name
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleSilentNode(String node, Instant now, Effects effects) {
		this.stalledStreams.handleSilentProxy(node, now, effects);
	}

}
