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
 * What a choice rests on beside the targets themselves.
 *
 * @param request the request
 * @param state what this node has under way
 * @param view what the other parts know
 * @param now the time
 */
public record RouteContext(RequestDescription request, RoutingState state, NodeView view, Instant now) {

	RoutingPolicy policy() {
		return this.view.policy().routing();
	}

	DataCentreName dataCentre() {
		return this.view.self().dataCentre();
	}

	Optional<VmObservation> observation(ServingTarget target) {
		return target.members().isEmpty() ? Optional.empty() : this.view.sight(target.members().get(0));
	}

	/**
	 * Requests at a target now.
	 * @param target the target
	 * @return the estimate
	 */
	int estimatedRequests(ServingTarget target) {
		return this.state.load(target.name()).estimatedRequests(observation(target));
	}

	/**
	 * A random number that only this request draws.
	 * @param draw tells the draws of one request apart
	 * @param bound the number of possible results
	 * @return from 0 to bound - 1
	 */
	int random(int draw, int bound) {
		long mixed = this.state.seed() + this.request.identifier().number() * 0x9E3779B97F4A7C15L
				+ draw * 0xD1B54A32D192ED03L + this.request.identifier().incarnation().number();
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return (int) Math.floorMod(mixed ^ (mixed >>> 31), (long) bound);
	}

}
