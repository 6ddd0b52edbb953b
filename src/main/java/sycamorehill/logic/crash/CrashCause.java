package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.model.serving.RequestTrait;

/**
 * Properties of requests that are held to crash targets. A request that has them all is
 * refused.
 *
 * @param traits the properties, which all requests that are held to have crashed the
 * targets have in common
 * @param losses the crashed targets that they explain
 * @param explainedByOthers whether other causes explain each of these crashes as well, so
 * that a single run can decide
 */
record CrashCause(Set<RequestTrait> traits, List<TargetLoss> losses, boolean explainedByOthers) {

	CrashCause {
		traits = Set.copyOf(traits);
		losses = List.copyOf(losses);
	}

	static CrashCause of(Set<RequestTrait> traits, List<TargetLoss> losses) {
		return new CrashCause(traits, losses, false);
	}

	/**
	 * Returns this cause with the answer to whether others explain its crashes as well.
	 * @param others the other causes
	 * @return the cause
	 */
	CrashCause besides(List<CrashCause> others) {
		boolean explained = this.losses.stream()
			.allMatch((loss) -> others.stream().anyMatch((other) -> loss.hasRunWith(other.traits())));
		return new CrashCause(this.traits, this.losses, explained);
	}

	boolean matches(Set<RequestTrait> requestTraits) {
		return requestTraits.containsAll(this.traits);
	}

	/**
	 * Formats the properties, which name the cause to an operator.
	 * @return the properties
	 */
	String name() {
		return RequestTrait.describe(this.traits);
	}

	/**
	 * Formats each crash with its age and the requests that are held to have caused it.
	 * @param now the current time
	 * @return the crashes, the oldest first
	 */
	String describeCrashes(Instant now) {
		return this.losses.stream()
			.sorted(Comparator.comparing(TargetLoss::lostAt))
			.map((loss) -> loss.target().name() + "/" + Duration.between(loss.lostAt(), now).toMillis() + "ms/"
					+ identifiers(loss))
			.collect(Collectors.joining(","));
	}

	private String identifiers(TargetLoss loss) {
		return loss.runs()
			.entrySet()
			.stream()
			.filter((request) -> matches(request.getValue().traits()))
			.map(Map.Entry::getKey)
			.sorted()
			.collect(Collectors.joining("+"));
	}

}
