package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
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

	/**
	 * Returns what other nodes have to know of this run.
	 * @param identifier the identifier of its request
	 * @param hasBeenSound tells whether requests with a property ran before
	 * @param now the current time
	 * @return the request
	 */
	LostRequest toRequest(String identifier, Predicate<RequestTrait> hasBeenSound, Instant now) {
		return new LostRequest(identifier, Duration.between(this.lostAt, now), this.traits,
				this.traits.stream().filter(hasBeenSound).collect(Collectors.toSet()));
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

	/**
	 * Returns what tells requests apart that are not repetitions of each other.
	 * @return the content; empty if it is known to be sound
	 */
	Set<RequestTrait> identity() {
		return this.traits.stream()
			.filter((trait) -> trait.kind() == RequestTrait.Kind.CONTENT)
			.collect(Collectors.toSet());
	}

}
