package sycamorehill.logic.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.policy.RoutingPolicy;
import sycamorehill.model.target.ServingTarget;

/**
 * Chooses the target with the lowest predicted time to the first token. The candidates
 * are the targets that last received the prompt's prefix, and random samples of the local
 * and of the remote targets.
 * <p>
 * Comparing all targets would send every node to the same one until the next report:
 * reports lag, and a target that looks idle would attract all requests at once.
 */
final class PredictedLatencyChooser implements TargetChooser {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private PredictedLatencyChooser() {
	}

	static PredictedLatencyChooser create() {
		return new PredictedLatencyChooser();
	}

	@Override
	public Optional<ServingTarget> choose(List<ServingTarget> targets, RouteContext context) {
		if (targets.isEmpty()) {
			return Optional.empty();
		}
		List<ServingTarget> candidates = List.copyOf(candidates(targets, context));
		double meanRequests = candidates.stream().mapToInt(context::estimatedRequests).average().orElse(0);
		double[] scores = candidates.stream().mapToDouble((target) -> score(target, context, meanRequests)).toArray();
		double best = Double.MAX_VALUE;
		for (double score : scores) {
			best = Math.min(best, score);
		}
		List<ServingTarget> nearBest = new ArrayList<>();
		for (int index = 0; index < scores.length; index++) {
			if (scores[index] <= best * (1 + context.policy().even())) {
				nearBest.add(candidates.get(index));
			}
		}
		return Optional.of(nearBest.get(context.random(-1, nearBest.size())));
	}

	private static Set<ServingTarget> candidates(List<ServingTarget> targets, RouteContext context) {
		Set<ServingTarget> candidates = new LinkedHashSet<>();
		List<TargetName> prefixTargets = context.state().homes().targetsOf(context.request().prefixHashes());
		List<ServingTarget> local = new ArrayList<>();
		List<ServingTarget> remote = new ArrayList<>();
		for (ServingTarget target : targets) {
			if (prefixTargets.contains(target.name())) {
				candidates.add(target);
			}
			(target.dataCentre().equals(context.dataCentre()) ? local : remote).add(target);
		}
		addRandom(local, context, 0, candidates);
		addRandom(remote, context, context.policy().candidates(), candidates);
		return candidates;
	}

	private static void addRandom(List<ServingTarget> from, RouteContext context, int firstDraw,
			Set<ServingTarget> candidates) {
		int maximum = context.policy().candidates();
		if (from.size() <= maximum) {
			candidates.addAll(from);
			return;
		}
		for (int draw = 0; draw < maximum; draw++) {
			candidates.add(from.get(context.random(firstDraw + draw, from.size())));
		}
	}

	private static double score(ServingTarget target, RouteContext context, double meanRequests) {
		RoutingPolicy policy = context.policy();
		TargetLoad load = context.state().loadOf(target.name());
		boolean countsCachedPrefix = context.estimatedRequests(target) <= policy.affinityLoadBound() * meanRequests + 1;
		double link = target.dataCentre().equals(context.dataCentre()) ? 0
				: policy.linkCost().toNanos() / NANOSECONDS_PER_SECOND;
		return load.ratio() * predictFirstToken(target, context, countsCachedPrefix)
				+ load.estimatedWait(context.observation(target)) + link;
	}

	/**
	 * Predicts the time to the first token from the load alone, without the target's
	 * measured ratio.
	 * @param target the target
	 * @param context the context of the choice
	 * @param countsCachedPrefix whether the prefix that the target probably has cached
	 * shortens the prefill
	 * @return the prediction in seconds
	 */
	static double predictFirstToken(ServingTarget target, RouteContext context, boolean countsCachedPrefix) {
		RoutingPolicy policy = context.policy();
		Instant notBefore = context.now().minus(policy.prefixMemory());
		List<Long> prefixes = context.request().prefixHashes();
		int cached = countsCachedPrefix ? context.state().homes().cachedBlocks(prefixes, target.name(), notBefore) : 0;
		double uncached = prefixes.isEmpty() ? 1 : 1 - (double) cached / prefixes.size();
		double prefill = policy.prefillPerToken().toNanos() / NANOSECONDS_PER_SECOND * context.request().promptTokens()
				* uncached;
		double slowdown = 1 + policy.slowdownPerRunning() * context.estimatedRequests(target);
		return (policy.firstToken().toNanos() / NANOSECONDS_PER_SECOND + prefill) * slowdown;
	}

}
