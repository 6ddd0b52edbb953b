package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;

/**
 * Explains where one node would send a request now, and why. Either the choice or the
 * refusal is present.
 *
 * @param node the node
 * @param configurationVersion version of its configuration, 0 before the first one
 * @param route the route of the request; empty if it is refused without one
 * @param workspace the workspace of the key; empty for anonymous callers
 * @param targets the targets of the service and model, in order of their expected times
 * @param choice where the request would go
 * @param refusal why it would be refused
 */
public record PlacementExplanation(Place node, long configurationVersion, Optional<RouteView> route,
		Optional<WorkspaceView> workspace, List<TargetView> targets, Optional<Choice> choice,
		Optional<Refusal> refusal) {

	/**
	 * Copies the targets.
	 */
	public PlacementExplanation {
		targets = List.copyOf(targets);
	}

	/**
	 * Explains a request that is refused before its targets matter.
	 * @param node the node
	 * @param configurationVersion version of its configuration
	 * @param refusal the refusal
	 * @return the explanation
	 */
	public static PlacementExplanation refused(Place node, long configurationVersion, Refusal refusal) {
		return new PlacementExplanation(node, configurationVersion, Optional.empty(), Optional.empty(), List.of(),
				Optional.empty(), Optional.of(refusal));
	}

	/**
	 * Name and place of a node.
	 *
	 * @param name the node's name
	 * @param dataCentre its data centre
	 * @param region the region; empty if it is not known
	 */
	public record Place(String name, DataCentreName dataCentre, Optional<RegionName> region) {
	}

	/**
	 * The route of a request.
	 *
	 * @param name the route's name
	 * @param service the service that receives the request; one of several by weight
	 * @param model the requested model
	 * @param homes home regions of the route and the workspace
	 */
	public record RouteView(String name, ServiceName service, Optional<String> model, HomeRegions homes) {
	}

	/**
	 * The workspace of a request.
	 *
	 * @param name the workspace's name
	 * @param priority its priority, 0 is the most urgent
	 * @param share its use and its fair share; empty if shares don't matter now
	 */
	public record WorkspaceView(WorkspaceName name, int priority, Optional<String> share) {
	}

	/**
	 * What the node knows of a target.
	 *
	 * @param name the target's name
	 * @param dataCentre its data centre
	 * @param region the region; empty if it is not known
	 * @param load the load
	 * @param resting how long it still wants no requests of the node
	 * @param ejected how long the node still sends it no requests
	 * @param limits what else limits the requests that it receives
	 * @param expectedTime expected time to the first answer
	 * @param leftOut why it may not receive the request, whatever its load
	 */
	public record TargetView(TargetName name, DataCentreName dataCentre, Optional<RegionName> region, LoadView load,
			Duration resting, Duration ejected, List<String> limits, Duration expectedTime, Optional<String> leftOut) {

		/**
		 * Copies the limits.
		 */
		public TargetView {
			limits = List.copyOf(limits);
		}

	}

	/**
	 * The load of a target as far as known.
	 *
	 * @param requests requests that it runs or queues
	 * @param slots requests that it runs concurrently
	 * @param reportAge age of its own last report of its load; empty if there is none
	 * @param failureRate share of requests that failed lately
	 */
	public record LoadView(int requests, int slots, Optional<Duration> reportAge, double failureRate) {
	}

	/**
	 * Where a request would go.
	 *
	 * @param target the target; empty if another node selects it
	 * @param proxy the node through which the request would be sent; empty if this node
	 * reaches the targets
	 * @param expectedTime expected time to the first answer; empty if another node
	 * selects the target
	 * @param onTime whether the answer is expected on time; empty if another node selects
	 * the target
	 */
	public record Choice(Optional<TargetName> target, Optional<String> proxy, Optional<Duration> expectedTime,
			Optional<Boolean> onTime) {
	}

	/**
	 * Why a request would be refused.
	 *
	 * @param status HTTP status of the answer
	 * @param cause the cause that the caller would get
	 */
	public record Refusal(int status, String cause) {
	}

}
