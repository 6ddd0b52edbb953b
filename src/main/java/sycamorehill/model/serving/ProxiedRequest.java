package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;

/**
 * A caller's request that one node, the origin, sends through another one, the proxy. It
 * contains what the origin has decided; the proxy only selects a target for one attempt.
 *
 * @param origin name of the origin
 * @param identifier the caller's identifier of the request, for logs
 * @param route name of the route
 * @param kind which repetitions of the request are safe
 * @param service service whose target receives the request
 * @param workspace the caller's workspace; empty for anonymous callers
 * @param priority priority of the route, 0 is the most urgent
 * @param latencyTarget maximum time to the first answer that is on time
 * @param routeTimeout maximum time for which the route lets a caller wait
 * @param timeout maximum time of this request, from its arrival at the origin
 * @param elapsed time since the request arrived at the origin
 * @param model requested model
 * @param tokenCounts sizes of the prompt and the answer
 * @param sharedPromptParts identifiers of the parts of its prompt that other requests may
 * have too, in order
 * @param contentHash hash of the method, the host, the path, the caller and the body
 * @param triedTargets targets that must not receive the request again
 * @param answerStarted whether the caller has received part of the answer
 * @param anotherAttemptMayFollow whether the origin can make another attempt
 * @param routeHomes regions in which the route lets it be served; empty if in all
 * @param acceptsStallReports whether the origin wants to hear that the target has stopped
 * sending; nodes of earlier versions want the attempt to end then
 */
public record ProxiedRequest(String origin, String identifier, String route, RequestKind kind, ServiceName service,
		Optional<Workspace> workspace, int priority, Duration latencyTarget, Duration routeTimeout, Duration timeout,
		Duration elapsed, Optional<String> model, Optional<TokenCounts> tokenCounts, List<String> sharedPromptParts,
		long contentHash, Set<TargetName> triedTargets, boolean answerStarted, boolean anotherAttemptMayFollow,
		Set<RegionName> routeHomes, boolean acceptsStallReports) {

	/**
	 * Copies the parts, the targets and the regions.
	 */
	public ProxiedRequest {
		sharedPromptParts = List.copyOf(sharedPromptParts);
		triedTargets = Set.copyOf(triedTargets);
		routeHomes = Set.copyOf(routeHomes);
	}

	/**
	 * Creates a request whose origin accepts no reports of stalls.
	 * @param origin name of the origin
	 * @param identifier the caller's identifier of the request, for logs
	 * @param route name of the route
	 * @param kind which repetitions of the request are safe
	 * @param service service whose target receives the request
	 * @param workspace the caller's workspace; empty for anonymous callers
	 * @param priority priority of the route, 0 is the most urgent
	 * @param latencyTarget maximum time to the first answer that is on time
	 * @param routeTimeout maximum time for which the route lets a caller wait
	 * @param timeout maximum time of this request, from its arrival at the origin
	 * @param elapsed time since the request arrived at the origin
	 * @param model requested model
	 * @param tokenCounts sizes of the prompt and the answer
	 * @param sharedPromptParts identifiers of the parts of its prompt that other requests
	 * may have too, in order
	 * @param contentHash hash of the method, the host, the path, the caller and the body
	 * @param triedTargets targets that must not receive the request again
	 * @param answerStarted whether the caller has received part of the answer
	 * @param anotherAttemptMayFollow whether the origin can make another attempt
	 * @param routeHomes regions in which the route lets it be served; empty if in all
	 */
	public ProxiedRequest(String origin, String identifier, String route, RequestKind kind, ServiceName service,
			Optional<Workspace> workspace, int priority, Duration latencyTarget, Duration routeTimeout,
			Duration timeout, Duration elapsed, Optional<String> model, Optional<TokenCounts> tokenCounts,
			List<String> sharedPromptParts, long contentHash, Set<TargetName> triedTargets, boolean answerStarted,
			boolean anotherAttemptMayFollow, Set<RegionName> routeHomes) {
		this(origin, identifier, route, kind, service, workspace, priority, latencyTarget, routeTimeout, timeout,
				elapsed, model, tokenCounts, sharedPromptParts, contentHash, triedTargets, answerStarted,
				anotherAttemptMayFollow, routeHomes, false);
	}

	/**
	 * Returns this request with the answer to whether its origin accepts reports of
	 * stalls.
	 * @param accepted whether it does
	 * @return the request
	 */
	public ProxiedRequest withStallReports(boolean accepted) {
		return new ProxiedRequest(this.origin, this.identifier, this.route, this.kind, this.service, this.workspace,
				this.priority, this.latencyTarget, this.routeTimeout, this.timeout, this.elapsed, this.model,
				this.tokenCounts, this.sharedPromptParts, this.contentHash, this.triedTargets, this.answerStarted,
				this.anotherAttemptMayFollow, this.routeHomes, accepted);
	}

	/**
	 * Returns this request with parts of its prompt.
	 * @param parts identifiers of the parts that other requests may have too
	 * @return the request
	 */
	public ProxiedRequest withSharedPromptParts(List<String> parts) {
		return new ProxiedRequest(this.origin, this.identifier, this.route, this.kind, this.service, this.workspace,
				this.priority, this.latencyTarget, this.routeTimeout, this.timeout, this.elapsed, this.model,
				this.tokenCounts, parts, this.contentHash, this.triedTargets, this.answerStarted,
				this.anotherAttemptMayFollow, this.routeHomes, this.acceptsStallReports);
	}

	/**
	 * Returns this request with home regions.
	 * @param homes the home regions of its route and its workspace
	 * @return the request
	 */
	public ProxiedRequest withHomes(HomeRegions homes) {
		return new ProxiedRequest(this.origin, this.identifier, this.route, this.kind, this.service,
				this.workspace.map((caller) -> new Workspace(caller.name(), caller.priority(), homes.ofWorkspace())),
				this.priority, this.latencyTarget, this.routeTimeout, this.timeout, this.elapsed, this.model,
				this.tokenCounts, this.sharedPromptParts, this.contentHash, this.triedTargets, this.answerStarted,
				this.anotherAttemptMayFollow, homes.ofRoute(), this.acceptsStallReports);
	}

	/**
	 * Returns the home regions of this request.
	 * @return the regions of its route and its workspace
	 */
	public HomeRegions homes() {
		return new HomeRegions(this.routeHomes, this.workspace.map(Workspace::homes).orElse(Set.of()));
	}

}
