package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeRecord;

/**
 * Selects the target of a request among the serving ones, by their known loads and rate
 * limits, and decides whether the request is admitted there.
 */
final class TargetSelector {

	private final ServingTargets servingTargets;

	private final Placement placement;

	private final TargetStatusRegistry statuses = TargetStatusRegistry.create();

	private final TargetRateLimits rateLimits;

	private final HomeRegionFilter homeRegions;

	private final EvacuationFilter evacuations;

	private final SlowStarts slowStarts;

	private final ColdTargets coldTargets;

	private final List<CandidateFilter> filters;

	private final WorkspaceShares shares = WorkspaceShares.create();

	private TargetSelector(EntrySettings settings, TargetDirectory directory, HomeRegionRule homeRegionRule,
			RandomGenerator random) {
		this.servingTargets = ServingTargets.of(directory);
		this.placement = Placement.of(settings.dataCentre(), random);
		this.rateLimits = TargetRateLimits.of(settings.toNodeRecord(), directory);
		this.homeRegions = HomeRegionFilter.of(homeRegionRule);
		this.evacuations = EvacuationFilter.of(directory, settings.dataCentres());
		this.slowStarts = SlowStarts.of(settings.toNodeRecord(), this.statuses);
		this.coldTargets = ColdTargets.of(settings, this.slowStarts::handleWarm);
		this.slowStarts.setColdTargets(this.coldTargets::isCold);
		this.placement.setColdTargets(this.coldTargets::isCold);
		this.filters = List.of(this.homeRegions, this.evacuations, this.rateLimits, this.coldTargets, this.slowStarts);
	}

	static TargetSelector of(EntrySettings settings, TargetDirectory directory, HomeRegionRule homeRegionRule,
			RandomGenerator random) {
		return new TargetSelector(settings, directory, homeRegionRule, random);
	}

	/**
	 * Selects a target. If there are many nodes, a sample of the targets is compared
	 * first, and all targets only if the sample refuses the request.
	 * @param request the request
	 * @param now the current time
	 * @return the target, and whether the request is admitted there
	 */
	Selection select(DispatchedRequest request, Instant now) {
		return selectRecorded(request, request.triedTargets(), now);
	}

	/**
	 * Selects a target as {@link #select} does, without any effect on later selections.
	 * @param request the request
	 * @param otherRandom the source of the random numbers for this selection alone
	 * @param now the current time
	 * @return the target, and whether the request would be admitted there
	 */
	Selection preview(DispatchedRequest request, RandomGenerator otherRandom, Instant now) {
		return select(request, request.triedTargets(), candidates(request, true, now),
				this.placement.withRandom(otherRandom), now);
	}

	/**
	 * Selects another target for a request that is at one, but none that has stopped
	 * sending as well.
	 * @param request the request
	 * @param now the current time
	 * @return the target, and whether the request is admitted there
	 */
	Selection selectOther(DispatchedRequest request, Instant now) {
		Set<TargetName> excluded = new HashSet<>(request.triedTargets());
		request.target().ifPresent(excluded::add);
		this.statuses.byTarget().forEach((target, status) -> {
			if (status.isStalled(now)) {
				excluded.add(target);
			}
		});
		return selectRecorded(request, excluded, now);
	}

	private Selection selectRecorded(DispatchedRequest request, Set<TargetName> excluded, Instant now) {
		List<Candidate> all = candidates(request, false, now);
		all.stream().findFirst().ifPresent((candidate) -> this.shares.recordAsked(request, candidate, now));
		return select(request, excluded, all, this.placement, now);
	}

	private Selection select(DispatchedRequest request, Set<TargetName> excluded, List<Candidate> all,
			Placement comparison, Instant now) {
		List<Candidate> sampled = comparison.sample(all, limited(all));
		Selection selection = selectBest(request, sampled, excluded, comparison, now);
		return (selection.admission() == Admission.Decision.REFUSED && sampled.size() < all.size())
				? selectBest(request, all, excluded, comparison, now) : selection;
	}

	private List<Candidate> limited(List<Candidate> candidates) {
		return (this.coldTargets.count() + this.slowStarts.count() == 0) ? List.of()
				: candidates.stream().filter((candidate) -> isLimited(candidate.entry().name())).toList();
	}

	private boolean isLimited(TargetName target) {
		return this.coldTargets.isCold(target) || this.slowStarts.isActive(target);
	}

	/**
	 * Returns how long all targets in the home regions of a request still rest.
	 * @param request the request
	 * @param now the current time
	 * @return the time until the first of them accepts requests; zero if one does now, or
	 * if there is none
	 */
	Duration restLeft(DispatchedRequest request, Instant now) {
		return inHomeRegions(request, now).stream()
			.map((candidate) -> this.statuses.restLeft(candidate.entry().name(), now))
			.min(Comparator.naturalOrder())
			.orElse(Duration.ZERO);
	}

	/**
	 * Returns why evacuations leave no target for a request.
	 * @param request the request
	 * @param now the current time
	 * @return the cause; empty unless it is the evacuations that leave none
	 */
	Optional<String> findEvacuationCause(DispatchedRequest request, Instant now) {
		return this.evacuations.isActive() ? this.evacuations.findCause(inHomeRegions(request, now)) : Optional.empty();
	}

	private List<Candidate> inHomeRegions(DispatchedRequest request, Instant now) {
		return this.homeRegions.filter(servingTargets(request, now), request, now);
	}

	/**
	 * Handles the end of evacuations.
	 * @param dataCentres the data centres
	 * @param now the current time
	 */
	void handleEvacuationsEnded(Set<DataCentreName> dataCentres, Instant now) {
		this.coldTargets.handleReturn(dataCentres, now);
	}

	private List<Candidate> candidates(DispatchedRequest request, boolean explained, Instant now) {
		List<Candidate> candidates = servingTargets(request, now);
		for (CandidateFilter filter : this.filters) {
			if (!explained) {
				filter.observe(candidates, request, now);
			}
			candidates = filter.filter(candidates, request, now);
		}
		return candidates;
	}

	/**
	 * Returns the serving targets of a request before any filter.
	 * @param request the request
	 * @param now the current time
	 * @return the targets
	 */
	List<Candidate> servingTargets(DispatchedRequest request, Instant now) {
		return this.servingTargets.find(request.serviceParameters(), request.request().model(), now);
	}

	private Selection selectBest(DispatchedRequest request, List<Candidate> candidates, Set<TargetName> excluded,
			Placement comparison, Instant now) {
		Optional<Placement.Choice> choice = comparison.choose(candidates, excluded, this.statuses.byTarget(),
				request.request().tokenCounts(), now);
		return choice.map((best) -> decideAdmission(request, best, now))
			.orElseGet(() -> new Selection(choice, Admission.Decision.REFUSED, Optional.empty()));
	}

	private Selection decideAdmission(DispatchedRequest request, Placement.Choice choice, Instant now) {
		Candidate candidate = choice.candidate();
		WorkspaceStanding standing = this.shares.standing(request, candidate, now);
		Admission.Estimate estimate = new Admission.Estimate(choice.timeToFirstAnswer(),
				request.route().latencyTarget(), Duration.between(request.arrivedAt(), now), request.timeLeft(now),
				request.route().timeout(), this.statuses.requests(candidate.entry().name(), now), candidate.slots(),
				request.answerStarted(), standing.level());
		Admission.Decision decision = Admission.decide(estimate);
		boolean overShare = decision == Admission.Decision.REFUSED
				&& standing.level() == WorkspaceStanding.Level.OVER_SHARE;
		return new Selection(Optional.of(choice), decision, overShare ? standing.share() : Optional.empty());
	}

	/**
	 * Records that a request is sent to a target.
	 * @param request the request
	 * @param candidate the target
	 * @param now the current time
	 */
	void recordSent(DispatchedRequest request, Candidate candidate, Instant now) {
		TargetName name = candidate.entry().name();
		this.shares.recordAdmitted(request, candidate, now);
		status(name).recordSent(candidate.slots());
		this.filters.forEach((filter) -> filter.recordSent(name, now));
		this.coldTargets.recordSent(name, request.transit(), now);
	}

	/**
	 * Marks a group as ended before the directory lists it.
	 * @param group the group's name
	 * @param epoch the group's epoch
	 * @param now the current time
	 */
	void markGroupEnded(String group, long epoch, Instant now) {
		this.servingTargets.markGroupEnded(group, epoch, now);
	}

	void updateNodes(int liveNodes, List<NodeRecord> peers, Instant now, Effects effects) {
		this.placement.setNodeCount(liveNodes);
		this.rateLimits.updateNodes(peers, now, effects);
		this.slowStarts.updateNodes(peers);
	}

	/**
	 * Logs and forgets the targets that are warm again.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(Instant now, Effects effects) {
		this.coldTargets.tick(now, effects);
		this.slowStarts.tick(now, effects);
	}

	/**
	 * Returns whether there are few enough nodes for each to broadcast every request that
	 * it places.
	 * @return true for few nodes
	 */
	boolean hasFewNodes() {
		return this.placement.hasFewNodes();
	}

	TargetStatus status(TargetName target) {
		return this.statuses.getOrCreate(target);
	}

	TargetStatusRegistry statuses() {
		return this.statuses;
	}

	/**
	 * Returns the filters of candidates, in the order in which they are applied.
	 * @return the filters
	 */
	List<CandidateFilter> filters() {
		return this.filters;
	}

	ColdTargets coldTargets() {
		return this.coldTargets;
	}

	SlowStarts slowStarts() {
		return this.slowStarts;
	}

	TargetRateLimits rateLimits() {
		return this.rateLimits;
	}

	WorkspaceShares shares() {
		return this.shares;
	}

	void forget(TargetName target) {
		this.statuses.forget(target);
		this.rateLimits.forget(target);
		this.slowStarts.forget(target);
	}

	/**
	 * The result of a selection.
	 *
	 * @param choice the best target; empty if none may receive the request
	 * @param admission whether the request is admitted there
	 * @param exceededShare the share that the workspace exceeds, if the request is
	 * refused and is over it
	 */
	record Selection(Optional<Placement.Choice> choice, Admission.Decision admission,
			Optional<WorkspaceStanding.Share> exceededShare) {
	}

}
