package sycamorehill.logic.routing;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.TargetName;

/**
 * State of the part: the choice of a target.
 *
 * @param seed feeds the random choices
 * @param loads own requests by target
 * @param attempts open attempts
 * @param homes where prefixes were sent
 */
public record RoutingState(long seed, PMap<TargetName, TargetLoad> loads, PMap<AttemptIdentifier, OpenAttempt> attempts,
		PrefixTargets homes) {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static RoutingState initial() {
		return new RoutingState(0, HashTreePMap.empty(), HashTreePMap.empty(), PrefixTargets.none());
	}

	TargetLoad load(TargetName target) {
		return this.loads.getOrDefault(target, TargetLoad.none());
	}

	RoutingState withLoad(TargetName target, TargetLoad load) {
		return new RoutingState(this.seed, this.loads.plus(target, load), this.attempts, this.homes);
	}

	RoutingState withAttempts(PMap<AttemptIdentifier, OpenAttempt> changed) {
		return new RoutingState(this.seed, this.loads, changed, this.homes);
	}

	RoutingState withHomes(PrefixTargets changed) {
		return new RoutingState(this.seed, this.loads, this.attempts, changed);
	}

	/**
	 * An open attempt.
	 *
	 * @param target where it runs
	 * @param at when it was sent
	 * @param predicted seconds to the first token that were predicted without the
	 * target's own ratio
	 * @param begun whether its first token was seen
	 */
	record OpenAttempt(TargetName target, Instant at, double predicted, boolean begun) {
	}

}
