package sycamorehill.logic.health;

import java.util.Arrays;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.policy.HealthPolicy;

/**
 * Detects stragglers by comparing a target's time to first token with the median of the
 * other targets of its service. If all targets slow down together, none is a straggler.
 */
final class StragglerDetection {

	private static final int MINIMUM_SIBLINGS = 2;

	private StragglerDetection() {
	}

	static boolean isStraggler(HealthState state, TargetName name, HealthPolicy policy) {
		TargetHealth health = state.targets().get(name);
		if (health.firstTokens().samples() < policy.stragglerSamples()) {
			return false;
		}
		double[] siblings = state.targets()
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(name))
			.map((entry) -> entry.getValue())
			.filter((other) -> other.service().equals(health.service())
					&& other.firstTokens().samples() >= policy.stragglerSamples())
			.mapToDouble((other) -> other.firstTokens().averageMillis())
			.toArray();
		if (siblings.length < MINIMUM_SIBLINGS) {
			return false;
		}
		Arrays.sort(siblings);
		double median = siblings[siblings.length / 2];
		double average = health.firstTokens().averageMillis();
		return average > median * policy.stragglerFactor() && average > median + policy.stragglerMargin().toMillis();
	}

}
