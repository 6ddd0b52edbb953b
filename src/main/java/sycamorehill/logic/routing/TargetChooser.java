package sycamorehill.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.target.ServingTarget;

/**
 * A strategy for choosing the target of a request.
 */
@FunctionalInterface
public interface TargetChooser {

	/**
	 * Chooses a target.
	 * @param targets the targets that may receive the request
	 * @param context the context of the choice
	 * @return the target, empty if there are no targets
	 */
	Optional<ServingTarget> choose(List<ServingTarget> targets, RouteContext context);

	/**
	 * Creates a chooser that picks any target at random.
	 * @return the chooser
	 */
	static TargetChooser random() {
		return (targets, context) -> targets.isEmpty() ? Optional.empty()
				: Optional.of(targets.get(context.random(0, targets.size())));
	}

	/**
	 * Creates a chooser that draws two targets at random and picks the one with fewer
	 * requests.
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
	 * Creates a chooser that picks the target with the fewest open requests of this node.
	 * Ties are broken at random.
	 * @return the chooser
	 */
	static TargetChooser leastOutstanding() {
		return (targets, context) -> {
			int offset = targets.isEmpty() ? 0 : context.random(0, targets.size());
			return targets.stream()
				.min(Comparator
					.comparingInt((ServingTarget target) -> context.state().loadOf(target.name()).outstanding())
					.thenComparingInt((target) -> Math.floorMod(targets.indexOf(target) - offset, targets.size())));
		};
	}

	/**
	 * Creates a chooser that picks the target with the lowest predicted time to the first
	 * token.
	 * @return the chooser
	 */
	static TargetChooser lowestPredictedLatency() {
		return PredictedLatencyChooser.create();
	}

}
