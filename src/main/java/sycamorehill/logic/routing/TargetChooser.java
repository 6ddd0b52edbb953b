package sycamorehill.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.target.ServingTarget;

/**
 * A way of choosing a target.
 */
@FunctionalInterface
public interface TargetChooser {

	/**
	 * Chooses.
	 * @param targets those that may be given the request
	 * @param context what the choice rests on
	 * @return the target, empty if there is none
	 */
	Optional<ServingTarget> choose(List<ServingTarget> targets, RouteContext context);

	/**
	 * Any target.
	 * @return the chooser
	 */
	static TargetChooser random() {
		return (targets, context) -> targets.isEmpty() ? Optional.empty()
				: Optional.of(targets.get(context.random(0, targets.size())));
	}

	/**
	 * The one with fewer requests of two drawn at random.
	 * @return the chooser
	 */
	static TargetChooser twoChoices() {
		return (targets, context) -> {
			if (targets.isEmpty()) {
				return Optional.empty();
			}
			ServingTarget first = targets.get(context.random(0, targets.size()));
			ServingTarget second = targets.get(context.random(1, targets.size()));
			return Optional
				.of((context.estimatedRequests(first) <= context.estimatedRequests(second)) ? first : second);
		};
	}

	/**
	 * The one with the fewest requests of this node's own.
	 * @return the chooser
	 */
	static TargetChooser leastOutstanding() {
		return (targets, context) -> {
			int offset = targets.isEmpty() ? 0 : context.random(0, targets.size());
			return targets.stream()
				.min(Comparator
					.comparingInt((ServingTarget target) -> context.state().load(target.name()).outstanding())
					.thenComparingInt((target) -> Math.floorMod(targets.indexOf(target) - offset, targets.size())));
		};
	}

	/**
	 * The one with the least predicted time to the first token.
	 * @return the chooser
	 */
	static TargetChooser lowestPredictedLatency() {
		return PredictedLatencyChooser.create();
	}

}
