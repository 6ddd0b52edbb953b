package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.logic.crash.CrashRefusal;
import sycamorehill.logic.crash.CrashSuspicions;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.RequestKind;

/**
 * Decides what happens next to a request: an attempt at a target, an attempt through
 * another node, or the final answer. A request that another node sends through this one
 * gets a single attempt; all further decisions are that node's.
 */
final class AttemptScheduler {

	/** Why a new request is refused if there is no target at all. */
	static final String NO_TARGET_CAUSE = "no target can take it";

	/**
	 * Maximum number of attempts of a request that reach no target, for example because
	 * the connection is refused. Each costs a connection and runs nothing.
	 */
	static final int MAXIMUM_UNREACHED_TARGETS = 4;

	/** Maximum number of nodes that may fail to accept a request. */
	private static final int MAXIMUM_UNAVAILABLE_NODES = 3;

	/**
	 * Number of nodes that may admit a request to none of their targets. Targets may rest
	 * or be left out at one node alone.
	 */
	private static final int MAXIMUM_NODES_WITHOUT_TARGET = 2;

	/**
	 * Retry-After while no node reaches the service: the path is tested several times
	 * within it.
	 */
	private static final Duration NO_PATH_RETRY_AFTER = Duration.ofSeconds(1);

	private final TargetSelector targetSelector;

	private final AttemptStarter attemptStarter;

	private final TargetReachability reachability;

	private final ProxySelector proxySelector;

	private final RetryBudgets retryBudgets;

	private final FinalAnswers finalAnswers;

	private final CrashSuspicions crashSuspicions;

	private final Map<Long, DispatchedRequest> activeRequests;

	private AttemptScheduler(TargetSelector targetSelector, AttemptStarter attemptStarter, TargetPaths paths,
			RetryBudgets retryBudgets, FinalAnswers finalAnswers, CrashSuspicions crashSuspicions,
			Map<Long, DispatchedRequest> activeRequests) {
		this.targetSelector = targetSelector;
		this.attemptStarter = attemptStarter;
		this.reachability = paths.reachability();
		this.proxySelector = paths.proxySelector();
		this.retryBudgets = retryBudgets;
		this.finalAnswers = finalAnswers;
		this.crashSuspicions = crashSuspicions;
		this.activeRequests = activeRequests;
	}

	/**
	 * Creates a scheduler.
	 * @param targetSelector selects targets
	 * @param attemptStarter starts attempts
	 * @param paths tells which services this node reaches, and selects other nodes
	 * @param retryBudgets limits retries
	 * @param finalAnswers creates final answers
	 * @param crashSuspicions tells which requests may crash targets
	 * @param activeRequests the requests without a final answer, by number; those that
	 * get one are removed
	 * @return the scheduler
	 */
	static AttemptScheduler of(TargetSelector targetSelector, AttemptStarter attemptStarter, TargetPaths paths,
			RetryBudgets retryBudgets, FinalAnswers finalAnswers, CrashSuspicions crashSuspicions,
			Map<Long, DispatchedRequest> activeRequests) {
		return new AttemptScheduler(targetSelector, attemptStarter, paths, retryBudgets, finalAnswers, crashSuspicions,
				activeRequests);
	}

	/**
	 * Starts the next attempt of a request, or gives the request up.
	 * @param request the request
	 * @param fallbackCause why it is given up if no target can receive it
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void place(DispatchedRequest request, String fallbackCause, Instant now, Effects effects) {
		Optional<CrashRefusal> crashes = findCrashRefusal(request, now, effects);
		if (crashes.isPresent()) {
			refuse(request, crashes.get(), now, effects);
			return;
		}
		Optional<String> evacuated = this.targetSelector.findEvacuationCause(request, now);
		if (evacuated.isPresent()) {
			endWithoutTarget(request, evacuated.get(), now, effects);
			return;
		}
		if (this.reachability.isUnreachable(request.service())) {
			placeThroughAnotherNode(request, fallbackCause, now, effects);
			return;
		}
		TargetSelector.Selection selection = this.targetSelector.select(request, now);
		if (isAdmitted(selection)) {
			this.attemptStarter.start(request, selection, now, effects);
		}
		else {
			selection.exceededShare().ifPresent((share) -> addRefusal(request, share, effects));
			endWithoutTarget(request, RefusalCauses.ofSelection(request, selection, fallbackCause), now, effects);
		}
	}

	// The first attempt of this node's caller was asked about at its arrival. An answer
	// that has begun is not ended for what other requests have in common with it.
	private Optional<CrashRefusal> findCrashRefusal(DispatchedRequest request, Instant now, Effects effects) {
		boolean admitted = request.attempts() == 0 && request.proxied().isEmpty();
		return (admitted || request.answerStarted()) ? Optional.empty()
				: this.crashSuspicions.findLaterRefusal(request.request(), now, effects);
	}

	private void refuse(DispatchedRequest request, CrashRefusal crashes, Instant now, Effects effects) {
		if (request.proxied().isPresent()) {
			effects.log(LogEvent.REQUEST_REFUSED, FinalAnswers.describe(request, now) + " origin="
					+ request.proxied().get().origin() + " cause='" + crashes.reason() + "'");
			endProxied(request, Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NO_TARGET), now, effects);
			return;
		}
		endGivenUp(request);
		this.finalAnswers.giveUp(request, crashes.reason(), crashes.retryAfter(), now, effects);
	}

	// Proxied requests don't count: the node that sent one here may still place it.
	private static void addRefusal(DispatchedRequest request, WorkspaceStanding.Share share, Effects effects) {
		if (request.proxied().isEmpty() && !request.mayHaveRun() && !request.answerStarted()) {
			effects.add(new EntryEffect.RefusedOverShare(share.workspace()));
		}
	}

	private void endWithoutTarget(DispatchedRequest request, String cause, Instant now, Effects effects) {
		if (request.proxied().isPresent()) {
			endProxied(request, Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NO_TARGET), now, effects);
		}
		else {
			giveUp(request, cause, now, effects);
		}
	}

	private void placeThroughAnotherNode(DispatchedRequest request, String fallbackCause, Instant now,
			Effects effects) {
		if (request.proxied().isPresent()) {
			endProxied(request, Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE), now, effects);
			return;
		}
		Optional<EntryEffect.ProxyNode> node = (request.triedNodes().size() < MAXIMUM_UNAVAILABLE_NODES)
				? this.proxySelector.select(request.service(), request.homes(), request.triedNodes(), now)
				: Optional.empty();
		if (node.isPresent()) {
			startThrough(request, node.get(), now, effects);
		}
		else if (this.proxySelector.isReachedElsewhere(request.service(), request.homes(), now)) {
			giveUp(request, RefusalCauses.withHomes(request, fallbackCause), now, effects);
		}
		else {
			endGivenUp(request);
			this.finalAnswers.giveUp(request, RefusalCauses.noPath(request), NO_PATH_RETRY_AFTER, now, effects);
		}
	}

	/**
	 * Decides after an attempt of a caller's request.
	 * @param request the request
	 * @param place where the attempt was made, for the log
	 * @param end how the attempt ended
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleAttemptEnd(DispatchedRequest request, AttemptPlace place, AttemptEnd end, Instant now, Effects effects) {
		if (end instanceof AttemptEnd.Delivered delivered) {
			this.activeRequests.remove(request.request().number());
			this.finalAnswers.recordDelivered(request, place, delivered, now, effects);
		}
		else if (end instanceof AttemptEnd.NotRun notRun) {
			handleNotRun(request, place, notRun.cause(), now, effects);
		}
		else {
			handlePossibleRun(request, place, end, now, effects);
		}
	}

	private void handlePossibleRun(DispatchedRequest request, AttemptPlace place, AttemptEnd end, Instant now,
			Effects effects) {
		request.countReachedTarget();
		request.markMayHaveRun();
		boolean repeatable = request.route().kind().isRepeatable();
		if (end instanceof AttemptEnd.Failed failed) {
			request.markFailureHeld();
			retryOrGiveUp(request, place, "status " + failed.status(), repeatable, now, effects);
		}
		else if (end instanceof AttemptEnd.Unknown unknown) {
			retryOrGiveUpLost(request, place, unknown.cause(), repeatable, now, effects);
		}
		else if (end instanceof AttemptEnd.Broken broken) {
			boolean resumable = broken.resumable() && request.route().kind() == RequestKind.RESUMABLE_STREAM;
			retryOrGiveUpLost(request, place, broken.cause(), resumable, now, effects);
		}
	}

	private void retryOrGiveUpLost(DispatchedRequest request, AttemptPlace place, String cause, boolean allowed,
			Instant now, Effects effects) {
		boolean risky = request.attemptAnsweredAt().isEmpty()
				&& this.crashSuspicions.isRisky(request.request().traits());
		retryOrGiveUp(request, place, risky ? cause + ", the next target may crash too" : cause, allowed && !risky, now,
				effects);
	}

	private void handleNotRun(DispatchedRequest request, AttemptPlace place, NotRunCause cause, Instant now,
			Effects effects) {
		String description = "not run by " + place + ": " + cause;
		boolean allowed = switch (cause) {
			case NOT_CONNECTED, EXPIRED -> {
				request.countUnreachedTarget();
				yield request.unreachedTargets() < MAXIMUM_UNREACHED_TARGETS;
			}
			case WRONG_TARGET, REFUSED -> {
				request.countReachedTarget();
				yield takeRetry(request, now, effects);
			}
			case NODE_UNAVAILABLE -> true;
			case NO_TARGET -> request.triedNodes().size() < MAXIMUM_NODES_WITHOUT_TARGET;
		};
		if (!allowed) {
			giveUp(request, description, now, effects);
			return;
		}
		logRetry(request, place, description, now, effects);
		place(request, description, now, effects);
	}

	private void retryOrGiveUp(DispatchedRequest request, AttemptPlace place, String cause, boolean allowed,
			Instant now, Effects effects) {
		String placedCause = cause + " at " + place;
		if (!allowed || !takeRetry(request, now, effects)) {
			giveUp(request, placedCause, now, effects);
			return;
		}
		logRetry(request, place, cause, now, effects);
		place(request, placedCause, now, effects);
	}

	/**
	 * Takes a retry from the budget if the request may have one.
	 * @param request the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return true if the request may be sent to another target
	 */
	boolean takeRetry(DispatchedRequest request, Instant now, Effects effects) {
		if (request.targetsReached() >= request.route().maximumAttempts() || request.timeLeft(now).isNegative()) {
			return false;
		}
		Optional<GrantedRetry> granted = this.retryBudgets.of(request.service())
			.tryRetry(now, now.plus(request.timeLeft(now)));
		request.setRetryRefused(granted.isEmpty());
		granted.ifPresent((retry) -> request.replaceRetry(retry, now));
		effects.add(new EntryEffect.RetryDecided(request.service(), granted.isPresent()));
		return granted.isPresent();
	}

	/**
	 * Returns the last retry of a request to the budget if it has reached no target.
	 * @param request the request
	 */
	void putBackRetry(DispatchedRequest request) {
		request.unsentRetry().ifPresent(this.retryBudgets.of(request.service())::putBack);
	}

	void logRetry(DispatchedRequest request, AttemptPlace place, String cause, Instant now, Effects effects) {
		effects.log(LogEvent.REQUEST_SENT_AGAIN, FinalAnswers.describe(request, now) + " " + place.fields("from")
				+ " cause='" + cause + "' begun=" + request.answerStarted());
	}

	/**
	 * Finds where a request could go on if it left its own target. The place is selected
	 * once: a second selection might find none after the request has left.
	 * @param request the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return the place; empty if there is none
	 */
	Optional<AlternativePlace> findAlternative(DispatchedRequest request, Instant now, Effects effects) {
		if (request.targetsCounted() + 1 >= request.route().maximumAttempts()
				|| this.targetSelector.findEvacuationCause(request, now).isPresent()
				|| findCrashRefusal(request, now, effects).isPresent()) {
			return Optional.empty();
		}
		if (this.reachability.isUnreachable(request.service())) {
			return this.proxySelector.select(request.service(), request.homes(), request.triedNodes(), now)
				.map(AlternativePlace.Through::new);
		}
		TargetSelector.Selection selection = this.targetSelector.selectOther(request, now);
		return isAdmitted(selection) ? Optional.of(new AlternativePlace.At(selection)) : Optional.empty();
	}

	/**
	 * Returns whether another target may admit a request that is at one.
	 * @param request the request
	 * @param now the current time
	 * @return false if this node reaches the service and finds none
	 */
	boolean mayFindOtherTarget(DispatchedRequest request, Instant now) {
		return this.reachability.isUnreachable(request.service())
				|| isAdmitted(this.targetSelector.selectOther(request, now));
	}

	private static boolean isAdmitted(TargetSelector.Selection selection) {
		return selection.admission() != Admission.Decision.REFUSED;
	}

	/**
	 * Starts the next attempt of a request at the place that was found for it.
	 * @param request the request, which has left its target
	 * @param place the place
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void startAt(DispatchedRequest request, AlternativePlace place, Instant now, Effects effects) {
		if (place instanceof AlternativePlace.Through through) {
			startThrough(request, through.node(), now, effects);
		}
		else if (place instanceof AlternativePlace.At at) {
			this.attemptStarter.start(request, at.selection(), now, effects);
		}
	}

	private void startThrough(DispatchedRequest request, EntryEffect.ProxyNode node, Instant now, Effects effects) {
		this.proxySelector.recordSent(node.name());
		this.attemptStarter.startThrough(request, node, now, effects);
	}

	/**
	 * Answers a request that is not sent to any further target.
	 * @param request the request
	 * @param cause the reason, for the caller and the log
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void giveUp(DispatchedRequest request, String cause, Instant now, Effects effects) {
		endGivenUp(request);
		Duration restLeft = this.targetSelector.restLeft(request, now);
		String fullCause = cause + (request.retryRefused() ? ", the retry budget is used up" : "")
				+ RefusalCauses.describeRest(restLeft);
		this.finalAnswers.giveUp(request, fullCause, restLeft, now, effects);
	}

	private void endGivenUp(DispatchedRequest request) {
		putBackRetry(request);
		this.activeRequests.remove(request.request().number());
		if (!request.mayHaveRun()) {
			this.crashSuspicions.recordNotRun(request.request());
		}
	}

	/**
	 * Reports the end of its only attempt to the node that has sent a request through
	 * this one.
	 * @param request the request
	 * @param target the target of the attempt; empty if none was selected
	 * @param end how the attempt ended
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void endProxied(DispatchedRequest request, Optional<TargetName> target, AttemptEnd end, Instant now,
			Effects effects) {
		long number = request.request().number();
		request.transit().settle(now);
		this.activeRequests.remove(number);
		effects.add(new EntryEffect.EndProxiedRequest(number, target, end));
		effects.log(LogEvent.PROXIED_REQUEST_ENDED,
				FinalAnswers.describe(request, now) + " origin=" + request.proxied().orElseThrow().origin() + " target="
						+ target.map(TargetName::value).orElse("none") + " end=" + end);
	}

}
