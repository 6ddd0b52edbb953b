package sycamorehill.logic.health;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.policy.HealthPolicy;
import sycamorehill.model.target.ServingTarget;

/**
 * Selects the targets of a service that may receive requests, and limits the share of
 * targets that are excluded as ejected.
 */
final class UsableTargets {

	private UsableTargets() {
	}

	static List<ServingTarget> of(HealthState state, List<ServingTarget> targets, Instant now, HealthPolicy policy) {
		List<ServingTarget> candidates = targets.stream().filter((target) -> !state.leaving(target, now)).toList();
		Set<TargetName> ejected = ejectedTargets(state, candidates, now, policy);
		List<ServingTarget> notEjected = candidates.stream()
			.filter((target) -> !ejected.contains(target.name()))
			.toList();
		List<ServingTarget> ready = notEjected.stream()
			.filter((target) -> !isAllowanceExhausted(state, target))
			.toList();
		// If all targets return at once, as after an outage, enforcing the allowances
		// would refuse requests that the targets can serve.
		return ready.isEmpty() ? notEjected : ready;
	}

	private static Set<TargetName> ejectedTargets(HealthState state, List<ServingTarget> candidates, Instant now,
			HealthPolicy policy) {
		List<ServingTarget> ordered = new ArrayList<>(
				candidates.stream().filter((target) -> isEjected(state, target, now)).toList());
		// Failed targets first, then those whose ejection ends last: the longest
		// ejections are the most reliable.
		ordered.sort(Comparator.comparing((ServingTarget target) -> reason(state, target))
			.thenComparing((target) -> until(state, target), Comparator.reverseOrder())
			.thenComparing(ServingTarget::name));
		Set<TargetName> ejected = new HashSet<>();
		for (ServingTarget target : ordered) {
			double share = (reason(state, target) == EjectionReason.FAILED) ? policy.failedShare()
					: policy.stragglerShare();
			if (ejected.size() < maximumEjected(candidates.size(), share)) {
				ejected.add(target.name());
			}
		}
		return ejected;
	}

	private static int maximumEjected(int targets, double share) {
		// Without a limit, a broken network link of this node or a wrong measurement
		// would eject all targets, and the node would refuse every request although the
		// targets are healthy.
		return Math.min(targets - 1, Math.max(1, (int) (targets * share)));
	}

	private static boolean isEjected(HealthState state, ServingTarget target, Instant now) {
		return state.healthOf(target).filter((health) -> health.isEjected(now)).isPresent();
	}

	private static boolean isAllowanceExhausted(HealthState state, ServingTarget target) {
		return state.healthOf(target).filter(TargetHealth::isAllowanceExhausted).isPresent();
	}

	private static EjectionReason reason(HealthState state, ServingTarget target) {
		return state.healthOf(target).orElseThrow().aside().orElseThrow().reason();
	}

	private static Instant until(HealthState state, ServingTarget target) {
		return state.healthOf(target).orElseThrow().aside().orElseThrow().until();
	}

}
