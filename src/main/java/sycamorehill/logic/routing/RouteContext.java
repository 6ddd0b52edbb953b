package sycamorehill.logic.routing;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.policy.RoutingPolicy;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.target.ServingTarget;

/**
 * The context of one choice: everything that a chooser reads besides the targets.
 *
 * @param request the request to route
 * @param state the routing state of this node
 * @param view the view of the node's other parts
 * @param now the current time
 */
public record RouteContext(RequestDescription request, RoutingState state, NodeView view, Instant now) {

	RoutingPolicy policy() {
		return this.view.policy().routing();
	}

	DataCentreName dataCentre() {
		return this.view.self().dataCentre();
	}

	Optional<VmObservation> observation(ServingTarget target) {
		return target.members().isEmpty() ? Optional.empty() : this.view.observation(target.members().get(0));
	}

	/**
	 * Estimates the number of requests at a target.
	 * @param target the target
	 * @return the requests running or queued there
	 */
	int estimatedRequests(ServingTarget target) {
		return this.state.loadOf(target.name()).estimatedRequests(observation(target));
	}

	/**
	 * Returns a pseudorandom number that depends only on the node's seed, the request and
	 * the draw. The bits are mixed as in SplitMix64.
	 * @param draw the number of the draw, which distinguishes the draws for one request
	 * @param bound the exclusive upper bound
	 * @return a number from 0 to {@code bound - 1}
	 */
	int random(int draw, int bound) {
		long mixed = this.state.seed() + this.request.identifier().number() * 0x9E3779B97F4A7C15L
				+ draw * 0xD1B54A32D192ED03L + this.request.identifier().incarnation().number();
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return (int) Math.floorMod(mixed ^ (mixed >>> 31), (long) bound);
	}

}
