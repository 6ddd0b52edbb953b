package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.model.serving.LostRequest;
import sycamorehill.model.serving.RequestTrait;

/**
 * A run of a request on a target that was lost.
 *
 * @param lostAt when the target was lost
 * @param traits the request's properties that may have crashed the target
 */
record LostRun(Instant lostAt, Set<RequestTrait> traits) {

	LostRun {
		traits = Set.copyOf(traits);
	}

	static LostRun of(LostRequest request, Instant now) {
		return new LostRun(now.minus(request.age()), request.traits());
	}

	LostRequest toRequest(String identifier, Instant now) {
		return new LostRequest(identifier, Duration.between(this.lostAt, now), this.traits);
	}

	/**
	 * Merges what two nodes know of the same run. Properties are only ever removed.
	 * @param other what another node knows
	 * @return what both know
	 */
	LostRun merge(LostRun other) {
		Set<RequestTrait> common = new HashSet<>(this.traits);
		common.retainAll(other.traits);
		return new LostRun(this.lostAt.isBefore(other.lostAt) ? this.lostAt : other.lostAt, common);
	}

	LostRun without(Set<RequestTrait> sound) {
		return new LostRun(this.lostAt,
				this.traits.stream().filter((trait) -> !sound.contains(trait)).collect(Collectors.toSet()));
	}

}
