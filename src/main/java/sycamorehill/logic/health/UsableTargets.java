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
 * Leaves targets out of a service's choice, within the bounds on how many.
 */
final class UsableTargets {

	private UsableTargets() {
	}

	static List<ServingTarget> of(HealthState state, List<ServingTarget> targets, Instant now, HealthPolicy policy) {
		List<ServingTarget> staying = targets.stream().filter((target) -> !state.leaving(target, now)).toList();
		Set<TargetName> aside = putAside(state, staying, now, policy);
		List<ServingTarget> trusted = staying.stream().filter((target) -> !aside.contains(target.name())).toList();
		List<ServingTarget> ready = trusted.stream().filter((target) -> !usedUp(state, target)).toList();
		// If all of them return at once, as after an outage, the allowances would refuse
		// work that the targets can take.
		return ready.isEmpty() ? trusted : ready;
	}

	private static Set<TargetName> putAside(HealthState state, List<ServingTarget> staying, Instant now,
			HealthPolicy policy) {
		List<ServingTarget> marked = new ArrayList<>(
				staying.stream().filter((target) -> isPutAside(state, target, now)).toList());
		// The longest aside are the most certain.
		marked.sort(Comparator.comparing((ServingTarget target) -> reason(state, target))
			.thenComparing((target) -> until(state, target), Comparator.reverseOrder())
			.thenComparing(ServingTarget::name));
		Set<TargetName> aside = new HashSet<>();
		for (ServingTarget target : marked) {
			double share = (reason(state, target) == AsideReason.FAILED) ? policy.failedShare()
					: policy.stragglerShare();
			if (aside.size() < mostAside(staying.size(), share)) {
				aside.add(target.name());
			}
		}
		return aside;
	}

	private static int mostAside(int targets, double share) {
		// Without a bound, a broken link of this node or a wrong measure would put all
		// targets aside, and the node would refuse everything while they are well.
		return Math.min(targets - 1, Math.max(1, (int) (targets * share)));
	}

	private static boolean isPutAside(HealthState state, ServingTarget target, Instant now) {
		return state.of(target).filter((health) -> health.putAside(now)).isPresent();
	}

	private static boolean usedUp(HealthState state, ServingTarget target) {
		return state.of(target).filter(TargetHealth::allowanceUsedUp).isPresent();
	}

	private static AsideReason reason(HealthState state, ServingTarget target) {
		return state.of(target).orElseThrow().aside().orElseThrow().reason();
	}

	private static Instant until(HealthState state, ServingTarget target) {
		return state.of(target).orElseThrow().aside().orElseThrow().until();
	}

}
