package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.List;

import sycamorehill.model.serving.HomeRegions;

/**
 * Removes the targets outside the home regions of a request.
 */
final class HomeRegionFilter implements CandidateFilter {

	private final HomeRegionRule rule;

	private HomeRegionFilter(HomeRegionRule rule) {
		this.rule = rule;
	}

	static HomeRegionFilter of(HomeRegionRule rule) {
		return new HomeRegionFilter(rule);
	}

	@Override
	public List<Candidate> filter(List<Candidate> candidates, DispatchedRequest request, Instant now) {
		HomeRegions homes = request.homes();
		if (!homes.isRestricted()) {
			return candidates;
		}
		return candidates.stream()
			.filter((candidate) -> this.rule.allowsTarget(homes, candidate.entry().dataCentre()))
			.toList();
	}

	@Override
	public String reason() {
		return "outside the home regions";
	}

}
