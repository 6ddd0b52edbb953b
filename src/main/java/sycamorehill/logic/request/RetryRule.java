package sycamorehill.logic.request;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.request.AttemptResult;

/**
 * Decides whether a request gets a further attempt, and when.
 */
final class RetryRule {

	private RetryRule() {
	}

	/**
	 * Has the request tried again, or gives it its final answer at once.
	 * @param step the step
	 * @param request the request, whose last attempt is in its history
	 * @param result how that attempt ended
	 */
	static void retryOrFinish(RequestStep step, ActiveRequest request, AttemptResult result) {
		ServiceName service = request.description().service();
		ServiceBudgets budgets = step.budgets(service);
		if (!isRetryAllowed(step, request, result) || !budgets.allowsRetry(request.hasBegun())
				|| !isTargetAvailable(step, request)) {
			step.finish(request, request.history().outcome(step.retryAfter()));
			return;
		}
		Duration backoff = backoff(step, request, result);
		Instant tryAt = step.now().plus(backoff);
		if (!request.hasBegun() && !tryAt.isBefore(request.description().deadline())) {
			step.finish(request, request.history().outcome(step.retryAfter()));
			return;
		}
		step.setBudgets(service, budgets.afterRetry(request.hasBegun()));
		Instant giveUpAt = request.hasBegun() ? tryAt.plus(step.policy().resumeWait()) : tryAt;
		ActiveRequest waiting = request.withGiveUpAt(giveUpAt);
		if (backoff.isZero()) {
			step.putRequest(waiting.withWakeAt(Optional.empty()));
			step.raise(new RequestEvent.AttemptDue(request.identifier()));
		}
		else {
			step.putRequest(waiting.withWakeAt(Optional.of(tryAt)));
		}
	}

	private static boolean isRetryAllowed(RequestStep step, ActiveRequest request, AttemptResult result) {
		// Whether the kind of work and of failure allow a further attempt. Work that
		// is not idempotent may go to another target only if the one before certainly
		// did not run it: it was never connected to, or it said itself that it
		// refused before running. After a broken answer it may have run, so a further
		// attempt would run the order twice.
		if (request.callerGone() || request.history().started() >= step.policy().mostAttempts()) {
			return false;
		}
		boolean certainlyNotRun = result instanceof AttemptResult.NothingSent
				|| result instanceof AttemptResult.RefusedBeforeRunning;
		return request.isIdempotent() || certainlyNotRun;
	}

	private static boolean isTargetAvailable(RequestStep step, ActiveRequest request) {
		// A stream that has begun waits a little for a target; any other request is
		// better told at once than after a wait for nothing.
		return request.hasBegun() || step.chooseTarget(request).isPresent();
	}

	private static Duration backoff(RequestStep step, ActiveRequest request, AttemptResult result) {
		// Nothing for the first retry after a target that is gone, as waiting would
		// not help it; else a wait that doubles, with jitter, so that a target that
		// is overloaded or slow is not asked by all at one moment.
		int ended = request.history().started();
		if (ended == 1 && isTargetGone(result)) {
			return Duration.ZERO;
		}
		return step.jittered(step.policy().backoff().multipliedBy(1L << (ended - 1)));
	}

	private static boolean isTargetGone(AttemptResult result) {
		if (result instanceof AttemptResult.RefusedBeforeRunning refused) {
			return refused.leaving();
		}
		if (result instanceof AttemptResult.Broken broken) {
			return broken.connectionLost();
		}
		return result instanceof AttemptResult.NothingSent;
	}

}
