package sycamorehill.logic.request;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.request.AttemptResult;

/**
 * Decides whether and when a request is retried.
 */
final class RetryRule {

	private RetryRule() {
	}

	/**
	 * Schedules a retry of the request, or finishes it immediately.
	 * @param step the current step
	 * @param request the request, with its last attempt in the history
	 * @param result the result of the last attempt
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
		// A request that is not idempotent may be retried only if the previous target
		// certainly did not run it: no connection was established, or the target refused
		// it before running it. After an interrupted answer it may have run, so a retry
		// could run the order twice.
		if (request.callerGone() || request.history().started() >= step.policy().mostAttempts()) {
			return false;
		}
		boolean certainlyNotRun = result instanceof AttemptResult.NotSent
				|| result instanceof AttemptResult.RefusedBeforeRunning;
		return request.isIdempotent() || certainlyNotRun;
	}

	private static boolean isTargetAvailable(RequestStep step, ActiveRequest request) {
		// A stream that has started waits briefly for a target. Any other request fails
		// immediately rather than after a futile wait.
		return request.hasBegun() || step.chooseTarget(request).isPresent();
	}

	private static Duration backoff(RequestStep step, ActiveRequest request, AttemptResult result) {
		// The first retry after the loss of a target has no delay, because waiting would
		// not help. Other retries use exponential backoff with jitter, so that they don't
		// reach an overloaded or slow target at the same moment.
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
		if (result instanceof AttemptResult.Interrupted broken) {
			return broken.connectionLost();
		}
		return result instanceof AttemptResult.NotSent;
	}

}
