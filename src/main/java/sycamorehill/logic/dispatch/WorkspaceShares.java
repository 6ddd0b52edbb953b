package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.ServedModel;
import sycamorehill.model.serving.TokenCounts;
import sycamorehill.model.serving.UseReport;
import sycamorehill.model.serving.Workspace;
import sycamorehill.model.serving.WorkspaceUse;

/**
 * Decides how requests stand to the fair shares of their workspaces, by the use at this
 * node and the use that other nodes report. Nothing is recorded unless the configuration
 * contains more than one workspace.
 *
 * Of a workspace that asks for more than its share, each node counts just the part of the
 * requests as within it that the share covers. Reports of use are up to a second old: if
 * all requests counted as over the share whenever the use is, the use would oscillate.
 */
final class WorkspaceShares {

	/**
	 * Time between two computations of the shares. Use changes within seconds, and the
	 * time that a request takes must not grow with the number of nodes.
	 */
	private static final Duration COMPUTATION_INTERVAL = Duration.ofMillis(100);

	/** Part of its share from which on a workspace counts as using all of it. */
	private static final double SHARE_USED_PART = 0.95;

	/**
	 * Minimum part of what a workspace asks for that is due to more urgent routes. With
	 * less, the shares don't apply to a workspace that has no others beside it.
	 */
	private static final double MINIMUM_URGENT_PART = 0.01;

	/**
	 * Amount admitted per share of a workspace that asks for more. Shares follow what was
	 * admitted: without headroom, use that has fallen would not rise again.
	 */
	private static final double HEADROOM = 1.2;

	/** 2^64 divided by the golden ratio. */
	private static final long SPREADING_FACTOR = 0x9E3779B97F4A7C15L;

	private final OwnUse ownUse = OwnUse.create();

	private final ReportedUse reportedUse = ReportedUse.create();

	private Set<WorkspaceName> configured = Set.of();

	private Map<ServedModel, FairShares> shares = Map.of();

	private Instant computedAt = Instant.MIN;

	private WorkspaceShares() {
	}

	static WorkspaceShares create() {
		return new WorkspaceShares();
	}

	/**
	 * Applies the workspaces of a configuration. The use of removed ones is forgotten.
	 * @param configuration the configuration
	 */
	void adopt(Configuration configuration) {
		Set<WorkspaceName> workspaces = configuration.workspaces();
		this.configured = (workspaces.size() > 1) ? workspaces : Set.of();
		this.ownUse.retain(this.configured);
		this.computedAt = Instant.MIN;
	}

	void handleReport(NodeMessage.Loads loads, Instant now) {
		this.reportedUse.handleReport(loads, now);
	}

	void handleReport(LoadSum sum, Instant now) {
		this.reportedUse.handleReport(sum, now);
	}

	/**
	 * Returns the use at this node, for other nodes.
	 * @param now the current time
	 * @return the use; empty if there was none lately
	 */
	UseReport report(Instant now) {
		return this.ownUse.report(now);
	}

	/**
	 * Records that a request asks for a target, unless it has before.
	 * @param request the request
	 * @param candidate a target that serves it
	 * @param now the current time
	 */
	void recordAsked(DispatchedRequest request, Candidate candidate, Instant now) {
		workspace(request).filter((name) -> request.markAsked())
			.ifPresent((name) -> this.ownUse.getOrCreate(servedModel(candidate), name, now)
				.addAsked(request.route().priority(), amount(request, candidate), now));
	}

	/**
	 * Records that a request is admitted, unless it was before.
	 * @param request the request
	 * @param candidate the target
	 * @param now the current time
	 */
	void recordAdmitted(DispatchedRequest request, Candidate candidate, Instant now) {
		workspace(request).filter((name) -> request.markAdmitted())
			.ifPresent((name) -> this.ownUse.getOrCreate(servedModel(candidate), name, now)
				.addAdmitted(request.route().priority(), amount(request, candidate), now));
	}

	private Optional<WorkspaceName> workspace(DispatchedRequest request) {
		return this.configured.isEmpty() ? Optional.empty()
				: request.workspace().map(Workspace::name).filter(this.configured::contains);
	}

	private static ServedModel servedModel(Candidate candidate) {
		return new ServedModel(candidate.entry().service(), candidate.model().map(ModelParameters::name));
	}

	private static double amount(DispatchedRequest request, Candidate candidate) {
		if (candidate.engines().isEmpty()) {
			return 1;
		}
		Optional<TokenCounts> counts = request.request().tokenCounts();
		int prompt = counts.map(TokenCounts::promptTokens).orElse(candidate.engines().get().meanPromptTokens());
		int answer = counts.map(TokenCounts::maximumAnswerTokens).orElse(candidate.engines().get().meanAnswerTokens());
		return Math.max(1, prompt + answer);
	}

	/**
	 * Returns how a request stands to the share of its workspace.
	 * @param request the request
	 * @param candidate the best target for it
	 * @param now the current time
	 * @return the standing
	 */
	WorkspaceStanding standing(DispatchedRequest request, Candidate candidate, Instant now) {
		Optional<WorkspaceName> workspace = workspace(request);
		if (workspace.isEmpty()) {
			return WorkspaceStanding.UNCONTESTED;
		}
		ServedModel model = servedModel(candidate);
		FairShares current = currentShares(now).get(model);
		if (current == null) {
			return WorkspaceStanding.UNCONTESTED;
		}
		double seconds = PriorityUse.DECAY_TIME.toMillis() / 1000.0;
		return new WorkspaceStanding(level(current, model, workspace.get(), request),
				Optional.of(new WorkspaceStanding.Share(workspace.get(), model,
						current.use(workspace.get()).admitted() / seconds, current.share() / seconds,
						candidate.engines().isPresent() ? "tokens" : "requests")));
	}

	private WorkspaceStanding.Level level(FairShares current, ServedModel model, WorkspaceName workspace,
			DispatchedRequest request) {
		if (Double.isInfinite(current.share())) {
			return WorkspaceStanding.Level.UNCONTESTED;
		}
		WorkspaceUse use = current.use(workspace);
		int priority = request.route().priority();
		Optional<PriorityUse> own = this.ownUse.find(model, workspace);
		double moreUrgentPart = own.map((one) -> one.moreUrgentPart(priority)).orElse(0.0);
		if (moreUrgentPart < MINIMUM_URGENT_PART && current.hasOneWorkspace()) {
			return WorkspaceStanding.Level.UNCONTESTED;
		}
		if (use.asked() <= current.share()) {
			return WorkspaceStanding.Level.WITHIN_SHARE;
		}
		double left = Math.max(0, current.share() - moreUrgentPart * use.asked());
		double drawn = draw(request) * use.asked() * own.map((one) -> one.askedPart(priority)).orElse(0.0);
		if (use.admitted() < SHARE_USED_PART * current.share()) {
			return (drawn <= left) ? WorkspaceStanding.Level.WITHIN_SHARE : WorkspaceStanding.Level.UNCONTESTED;
		}
		double admitted = use.admitted() * own.map((one) -> one.admittedPart(priority)).orElse(0.0);
		boolean exceeded = FairShares.exceeds(use.admitted(), current.share()) && FairShares.exceeds(admitted, left);
		return (exceeded || drawn > HEADROOM * left) ? WorkspaceStanding.Level.OVER_SHARE
				: WorkspaceStanding.Level.UNCONTESTED;
	}

	// Spreads consecutive request numbers evenly between 0 and 1. A request keeps its
	// value, so its selections agree.
	private static double draw(DispatchedRequest request) {
		return ((request.request().number() * SPREADING_FACTOR) >>> 11) * 0x1.0p-53;
	}

	private Map<ServedModel, FairShares> currentShares(Instant now) {
		if (this.computedAt == Instant.MIN || !now.isBefore(this.computedAt.plus(COMPUTATION_INTERVAL))) {
			List<UseReport> reports = new ArrayList<>(this.reportedUse.valid(now));
			reports.add(this.ownUse.report(now));
			Map<ServedModel, FairShares> computed = new HashMap<>();
			UseReport.sum(reports)
				.models()
				.forEach((use) -> computed.put(use.model(), FairShares.of(use, this.configured)));
			this.shares = computed;
			this.computedAt = now;
		}
		return this.shares;
	}

}
