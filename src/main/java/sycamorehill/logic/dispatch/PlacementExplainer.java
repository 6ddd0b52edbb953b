package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.PlacementExplanation;
import sycamorehill.model.serving.PlacementExplanation.Choice;
import sycamorehill.model.serving.PlacementExplanation.LoadView;
import sycamorehill.model.serving.PlacementExplanation.Place;
import sycamorehill.model.serving.PlacementExplanation.Refusal;
import sycamorehill.model.serving.PlacementExplanation.RouteView;
import sycamorehill.model.serving.PlacementExplanation.TargetView;
import sycamorehill.model.serving.PlacementExplanation.WorkspaceView;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.Workspace;

/**
 * Explains where a request would go now. It makes the same selection as for a request of
 * a caller, but changes nothing: its random numbers come from a generator of its own, and
 * nothing is recorded as sent. Refusals because of the content of requests are left out,
 * as there is no content.
 */
final class PlacementExplainer {

	private static final int UNAVAILABLE = 503;

	private final EntrySettings settings;

	private final RequestRouter router;

	private final TargetSelector targetSelector;

	private final TargetPaths paths;

	private final HomeRegionRule homeRegionRule;

	private PlacementExplainer(EntrySettings settings, RequestRouter router, TargetSelector targetSelector,
			TargetPaths paths, HomeRegionRule homeRegionRule) {
		this.settings = settings;
		this.router = router;
		this.targetSelector = targetSelector;
		this.paths = paths;
		this.homeRegionRule = homeRegionRule;
	}

	static PlacementExplainer of(EntrySettings settings, RequestRouter router, TargetSelector targetSelector,
			TargetPaths paths, HomeRegionRule homeRegionRule) {
		return new PlacementExplainer(settings, router, targetSelector, paths, homeRegionRule);
	}

	/**
	 * Explains where a request would go.
	 * @param request the request
	 * @param now the current time
	 * @return the explanation
	 */
	PlacementExplanation explain(CallerRequest request, Instant now) {
		RequestRouter.Decision decision = this.router.find(request);
		if (decision instanceof RequestRouter.Refused refused) {
			return refused(refused.status(), refused.detail());
		}
		RequestRouter.Routed routed = (RequestRouter.Routed) decision;
		RandomGenerator random = new SplittableRandom(Objects.hash(this.settings.nodeName(), request.path(), now));
		ServiceParameters service = routed.parameters(routed.route().selectService(random.nextDouble()));
		DispatchedRequest dispatched = DispatchedRequest.of(request, routed.route(), service, routed.workspace(), now);
		Optional<String> evacuated = this.targetSelector.findEvacuationCause(dispatched, now);
		if (evacuated.isPresent()) {
			return explanation(dispatched, Optional.empty(), evacuated.get(), now);
		}
		return this.paths.reachability().isUnreachable(service.name()) ? explainWithoutPath(dispatched, random, now)
				: explainSelection(dispatched, random, now);
	}

	/**
	 * Explains a refusal that needs no selection.
	 * @param status the HTTP status of the answer
	 * @param cause the cause that the caller would get
	 * @return the explanation
	 */
	PlacementExplanation refused(int status, String cause) {
		return PlacementExplanation.refused(node(), configurationVersion(), new Refusal(status, cause));
	}

	private PlacementExplanation explainWithoutPath(DispatchedRequest request, RandomGenerator random, Instant now) {
		Optional<EntryEffect.ProxyNode> proxy = this.paths.proxySelector()
			.select(request.service(), request.homes(), Set.of(), random, now);
		return explanation(request, proxy
			.map((node) -> new Choice(Optional.empty(), Optional.of(node.name()), Optional.empty(), Optional.empty())),
				RefusalCauses.noPath(request), now);
	}

	private PlacementExplanation explainSelection(DispatchedRequest request, RandomGenerator random, Instant now) {
		TargetSelector.Selection selection = this.targetSelector.preview(request, random, now);
		Optional<Choice> choice = selection.choice()
			.filter((best) -> selection.admission() != Admission.Decision.REFUSED)
			.map((best) -> new Choice(Optional.of(best.candidate().entry().name()), Optional.empty(),
					Optional.of(best.timeToFirstAnswer()),
					Optional.of(selection.admission() == Admission.Decision.ON_TIME)));
		String cause = RefusalCauses.ofSelection(request, selection, AttemptScheduler.NO_TARGET_CAUSE)
				+ RefusalCauses.describeRest(this.targetSelector.restLeft(request, now));
		return explanation(request, choice, cause, now);
	}

	private PlacementExplanation explanation(DispatchedRequest request, Optional<Choice> choice, String cause,
			Instant now) {
		Optional<Refusal> refusal = choice.isPresent() ? Optional.empty()
				: Optional.of(new Refusal(UNAVAILABLE, FinalAnswers.NOT_RUN_PREFIX + cause));
		return new PlacementExplanation(node(), configurationVersion(),
				Optional.of(new RouteView(request.route().name(), request.service(), request.request().model(),
						request.homes())),
				request.workspace().map((workspace) -> workspace(workspace, request, now)), targets(request, now),
				choice, refusal);
	}

	private Place node() {
		return new Place(this.settings.nodeName(), this.settings.dataCentre(),
				this.homeRegionRule.region(this.settings.dataCentre()));
	}

	private long configurationVersion() {
		return this.router.configuration().map(Configuration::version).orElse(0L);
	}

	private WorkspaceView workspace(Workspace workspace, DispatchedRequest request, Instant now) {
		Optional<String> share = this.targetSelector.servingTargets(request, now)
			.stream()
			.findFirst()
			.flatMap((candidate) -> this.targetSelector.shares().standing(request, candidate, now).share())
			.map(WorkspaceStanding.Share::toString);
		return new WorkspaceView(workspace.name(), workspace.priority(), share);
	}

	private List<TargetView> targets(DispatchedRequest request, Instant now) {
		List<Candidate> serving = this.targetSelector.servingTargets(request, now);
		Map<TargetName, String> leftOut = findReasons(serving, request, now);
		return serving.stream()
			.map((candidate) -> target(candidate, request, Optional.ofNullable(leftOut.get(candidate.entry().name())),
					now))
			.sorted(Comparator.comparing((TargetView target) -> target.leftOut().isPresent())
				.thenComparing(TargetView::expectedTime)
				.thenComparing((target) -> target.name().value()))
			.toList();
	}

	// Applies the filters one after the other, as a selection does.
	private Map<TargetName, String> findReasons(List<Candidate> serving, DispatchedRequest request, Instant now) {
		Map<TargetName, String> reasons = new HashMap<>();
		List<Candidate> remaining = serving;
		for (CandidateFilter filter : this.targetSelector.filters()) {
			List<Candidate> kept = filter.filter(remaining, request, now);
			Set<Candidate> removed = new HashSet<>(remaining);
			kept.forEach(removed::remove);
			removed.forEach((candidate) -> reasons.put(candidate.entry().name(), filter.reason()));
			remaining = kept;
		}
		return reasons;
	}

	private TargetView target(Candidate candidate, DispatchedRequest request, Optional<String> leftOut, Instant now) {
		TargetName name = candidate.entry().name();
		Optional<TargetStatus> status = this.targetSelector.statuses().find(name);
		List<String> limits = this.targetSelector.filters()
			.stream()
			.flatMap((filter) -> filter.describeLimit(candidate, now).stream())
			.toList();
		LoadView load = new LoadView(status.map((known) -> known.requests(now)).orElse(0), candidate.slots(),
				status.flatMap((known) -> known.reportAge(now)), status.map(TargetStatus::failureRate).orElse(0.0));
		return new TargetView(name, candidate.entry().dataCentre(),
				this.homeRegionRule.region(candidate.entry().dataCentre()), load,
				status.map((known) -> known.restLeft(now)).orElse(Duration.ZERO),
				status.map((known) -> known.ejectionLeft(now)).orElse(Duration.ZERO), limits,
				Placement.expectedTime(candidate, status, request.request().tokenCounts(), now), leftOut);
	}

}
