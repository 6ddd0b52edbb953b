package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NotRunCause;

/**
 * Runs a second attempt of a stream beside one whose target or node has stopped sending.
 * A pause can't be told from a loss. The stalled attempt is therefore kept until the
 * other one goes on with the answer, and whatever the other one's target says, the stream
 * is not given up while one of them runs.
 */
final class ParallelAttempts {

	/** Maximum number of nodes that may fail to place a second attempt. */
	private static final int MAXIMUM_UNAVAILABLE_NODES = 2;

	private final TargetSelector targetSelector;

	private final ProxySelector proxySelector;

	private final AttemptScheduler scheduler;

	private ParallelAttempts(TargetSelector targetSelector, ProxySelector proxySelector, AttemptScheduler scheduler) {
		this.targetSelector = targetSelector;
		this.proxySelector = proxySelector;
		this.scheduler = scheduler;
	}

	static ParallelAttempts of(TargetSelector targetSelector, ProxySelector proxySelector, AttemptScheduler scheduler) {
		return new ParallelAttempts(targetSelector, proxySelector, scheduler);
	}

	/**
	 * Starts an attempt beside the current one, if there is a place for it and the
	 * retries allow it. There are never more than two.
	 * @param request the request, whose current attempt is stalled
	 * @param cause why the attempt is stalled, for the log
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void start(DispatchedRequest request, String cause, Instant now, Effects effects) {
		if (request.otherAttempt().isEmpty()) {
			this.scheduler.findAlternative(request, now, effects)
				.filter((place) -> this.scheduler.takeRetry(request, now, effects))
				.ifPresent((place) -> startAt(request, place, cause, now, effects));
		}
	}

	private void startAt(DispatchedRequest request, AlternativePlace place, String cause, Instant now,
			Effects effects) {
		this.scheduler.logRetry(request, request.currentAttempt().place(), cause, now, effects);
		request.setAsideAttempt();
		this.scheduler.startAt(request, place, now, effects);
	}

	/**
	 * Handles the end of a caller's request's attempt. If another attempt runs, the
	 * request goes on there.
	 * @param request the request, whose current attempt has ended
	 * @param place where the attempt was made, for the log
	 * @param end how it ended
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleAttemptEnd(DispatchedRequest request, AttemptPlace place, AttemptEnd end, Instant now, Effects effects) {
		if (end instanceof AttemptEnd.Delivered || request.otherAttempt().isEmpty()) {
			this.scheduler.handleAttemptEnd(request, place, end, now, effects);
			return;
		}
		count(request, end);
		request.continueWithOtherAttempt();
		effects.log(LogEvent.STREAM_CONTINUED, FinalAnswers.describe(request, now) + " "
				+ request.currentAttempt().place().fields("at") + " ended='" + place + "' end=" + end);
		if (request.currentAttempt().isStalled() && end instanceof AttemptEnd.NotRun notRun) {
			startAnother(request, notRun.cause(), now, effects);
		}
	}

	private static void count(DispatchedRequest request, AttemptEnd end) {
		if (!(end instanceof AttemptEnd.NotRun notRun)) {
			request.countReachedTarget();
			request.markMayHaveRun();
		}
		else if (hasReachedTarget(notRun.cause())) {
			request.countReachedTarget();
		}
		else if (notRun.cause() == NotRunCause.NOT_CONNECTED || notRun.cause() == NotRunCause.EXPIRED) {
			request.countUnreachedTarget();
		}
	}

	private static boolean hasReachedTarget(NotRunCause cause) {
		return cause == NotRunCause.WRONG_TARGET || cause == NotRunCause.REFUSED;
	}

	// An attempt that reached no target leaves its retry for the next one.
	private void startAnother(DispatchedRequest request, NotRunCause cause, Instant now, Effects effects) {
		if (hasReachedTarget(cause)) {
			start(request, "not run: " + cause, now, effects);
			return;
		}
		boolean allowed = request.unreachedTargets() < AttemptScheduler.MAXIMUM_UNREACHED_TARGETS
				&& request.triedNodes().size() < MAXIMUM_UNAVAILABLE_NODES;
		Optional<AlternativePlace> place = allowed ? this.scheduler.findAlternative(request, now, effects)
				: Optional.empty();
		place.ifPresentOrElse((next) -> startAt(request, next, "not run: " + cause, now, effects),
				() -> this.scheduler.putBackRetry(request));
	}

	/**
	 * Handles that one of two attempts went on with the answer.
	 * @param request the request
	 * @param attempt number of the attempt that went on
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handlePrevailed(DispatchedRequest request, int attempt, Instant now, Effects effects) {
		if (request.otherAttempt().isEmpty() || !request.makeCurrent(attempt)) {
			return;
		}
		AttemptPlace left = request.otherAttempt().get().place();
		cancelOther(request, now, effects);
		request.recordArrival(now);
		request.countReachedTarget();
		request.markMayHaveRun();
		effects.log(LogEvent.STREAM_CONTINUED, FinalAnswers.describe(request, now) + " "
				+ request.currentAttempt().place().fields("at") + " ended='" + left + "' end=cancelled");
	}

	/**
	 * Cancels the attempt beside the current one, if there is one.
	 * @param request the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void cancelOther(DispatchedRequest request, Instant now, Effects effects) {
		request.otherAttempt().ifPresent((other) -> {
			effects.add(new EntryEffect.CancelAttempt(request.request().number(), other.number()));
			release(other, now);
			request.dropOtherAttempt();
		});
	}

	/**
	 * Takes an attempt that ends out of the loads of its target and its node.
	 * @param attempt the attempt
	 * @param now the current time
	 */
	void release(AttemptState attempt, Instant now) {
		attempt.target().ifPresent((target) -> this.targetSelector.status(target).recordEnded());
		attempt.proxy().ifPresent(this.proxySelector::recordEnded);
		attempt.transit().settle(now);
	}

}
