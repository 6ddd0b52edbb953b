package sycamorehill.logic.routing;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.TargetName;

/**
 * The routing state of a node.
 *
 * @param seed the seed of the random choices
 * @param loads the node's own load on each target
 * @param attempts the open attempts
 * @param homes the targets that received recent prefixes
 */
public record RoutingState(long seed, PMap<TargetName, TargetLoad> loads, PMap<AttemptIdentifier, OpenAttempt> attempts,
		PrefixTargets homes) {

	/**
	 * Returns the state of a node that has just started.
	 * @return the state before the first event
	 */
	public static RoutingState initial() {
		return new RoutingState(0, HashTreePMap.empty(), HashTreePMap.empty(), PrefixTargets.none());
	}

	TargetLoad loadOf(TargetName target) {
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
	 * @param target the target that it was sent to
	 * @param at when it was sent
	 * @param predicted the predicted seconds to the first token, without the target's
	 * measured ratio
	 * @param begun whether its first token has arrived
	 */
	record OpenAttempt(TargetName target, Instant at, double predicted, boolean begun) {
	}

}
