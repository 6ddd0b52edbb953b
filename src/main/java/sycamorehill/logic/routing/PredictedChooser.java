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
 * Chooses the least predicted time to the first token among the targets that were last
 * sent the prompt's prefix, some of the own data centre and some of the others, drawn at
 * random. Comparing all targets would send every node to the same one until the next
 * report: the reports lag, and a target that looks idle draws all of them at once.
 */
final class PredictedChooser implements TargetChooser {

	private static final double NANOS = 1e9;

	private PredictedChooser() {
	}

	static PredictedChooser create() {
		return new PredictedChooser();
	}

	@Override
	public Optional<ServingTarget> choose(List<ServingTarget> targets, RouteContext context) {
		if (targets.isEmpty()) {
			return Optional.empty();
		}
		List<ServingTarget> candidates = List.copyOf(candidates(targets, context));
		double mean = candidates.stream().mapToInt(context::requests).average().orElse(0);
		double[] scores = candidates.stream().mapToDouble((target) -> score(target, context, mean)).toArray();
		double best = Double.MAX_VALUE;
		for (double score : scores) {
			best = Math.min(best, score);
		}
		List<ServingTarget> even = new ArrayList<>();
		for (int place = 0; place < scores.length; place++) {
			if (scores[place] <= best * (1 + context.policy().even())) {
				even.add(candidates.get(place));
			}
		}
		return Optional.of(even.get(context.random(-1, even.size())));
	}

	private static Set<ServingTarget> candidates(List<ServingTarget> targets, RouteContext context) {
		Set<ServingTarget> candidates = new LinkedHashSet<>();
		List<TargetName> homes = context.state().homes().of(context.request().prefixHashes());
		List<ServingTarget> own = new ArrayList<>();
		List<ServingTarget> others = new ArrayList<>();
		for (ServingTarget target : targets) {
			if (homes.contains(target.name())) {
				candidates.add(target);
			}
			(target.dataCentre().equals(context.dataCentre()) ? own : others).add(target);
		}
		draw(own, context, 0, candidates);
		draw(others, context, context.policy().candidates(), candidates);
		return candidates;
	}

	private static void draw(List<ServingTarget> from, RouteContext context, int firstDraw,
			Set<ServingTarget> candidates) {
		int most = context.policy().candidates();
		if (from.size() <= most) {
			candidates.addAll(from);
			return;
		}
		for (int draw = 0; draw < most; draw++) {
			candidates.add(from.get(context.random(firstDraw + draw, from.size())));
		}
	}

	private static double score(ServingTarget target, RouteContext context, double mean) {
		RoutingPolicy policy = context.policy();
		TargetLoad load = context.state().load(target.name());
		boolean drawsByPrefix = context.requests(target) <= policy.affinityLoadBound() * mean + 1;
		double link = target.dataCentre().equals(context.dataCentre()) ? 0 : policy.linkCost().toNanos() / NANOS;
		return load.ratio() * firstToken(target, context, drawsByPrefix) + load.wait(context.sight(target)) + link;
	}

	/**
	 * Time to the first token by the load alone, without the target's own ratio.
	 * @param target the target
	 * @param context what the choice rests on
	 * @param drawsByPrefix whether what it has cached counts
	 * @return seconds
	 */
	static double firstToken(ServingTarget target, RouteContext context, boolean drawsByPrefix) {
		RoutingPolicy policy = context.policy();
		Instant notBefore = context.now().minus(policy.prefixMemory());
		List<Long> prefixes = context.request().prefixHashes();
		int cached = drawsByPrefix ? context.state().homes().cached(prefixes, target.name(), notBefore) : 0;
		double uncached = prefixes.isEmpty() ? 1 : 1 - (double) cached / prefixes.size();
		double prefill = policy.prefillPerToken().toNanos() / NANOS * context.request().promptTokens() * uncached;
		double slowed = 1 + policy.slowdownPerRunning() * context.requests(target);
		return (policy.firstToken().toNanos() / NANOS + prefill) * slowed;
	}

}
