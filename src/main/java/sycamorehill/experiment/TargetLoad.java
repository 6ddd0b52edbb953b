package sycamorehill.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.target.ServingTarget;

/**
 * Counts attempts in flight and finds the target with the fewest; among equals each has
 * its turn.
 */
final class TargetLoad {

	private final Map<TargetName, Integer> inFlight = new HashMap<>();

	private int turn;

	void started(TargetName target) {
		this.inFlight.merge(target, 1, Integer::sum);
	}

	void closed(TargetName target) {
		this.inFlight.merge(target, -1, Integer::sum);
	}

	Optional<ServingTarget> least(List<ServingTarget> targets) {
		if (targets.isEmpty()) {
			return Optional.empty();
		}
		this.turn++;
		ServingTarget best = targets.get(this.turn % targets.size());
		for (int offset = 1; offset < targets.size(); offset++) {
			ServingTarget other = targets.get((this.turn + offset) % targets.size());
			if (load(other) < load(best)) {
				best = other;
			}
		}
		return Optional.of(best);
	}

	private int load(ServingTarget target) {
		return this.inFlight.getOrDefault(target.name(), 0);
	}

}
