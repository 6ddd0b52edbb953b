package sycamorehill.logic.request;

import java.time.Duration;
import java.util.Optional;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestOutcome;

/**
 * Results of the ended attempts of one request.
 *
 * @param started the number of attempts started, including a running one
 * @param failedTargets the targets that failed the request; they are not tried again
 * @param evidence the worst evidence of all attempts
 * @param refusalReason the reason why the attempt with the worst evidence did not serve
 * the request
 * @param detail the description of that attempt's failure
 * @param retryAfter the longest Retry-After of all targets
 * @param tokens the number of tokens delivered to the caller by all attempts
 */
record AttemptHistory(int started, PSet<TargetName> failedTargets, RunEvidence evidence, RefusalReason refusalReason,
		String detail, Duration retryAfter, int tokens) {

	static AttemptHistory empty() {
		return new AttemptHistory(0, HashTreePSet.empty(), RunEvidence.NOT_RUN, RefusalReason.NO_TARGET,
				"no target may be given work now", Duration.ZERO, 0);
	}

	AttemptHistory withAttemptStarted() {
		return new AttemptHistory(this.started + 1, this.failedTargets, this.evidence, this.refusalReason, this.detail,
				this.retryAfter, this.tokens);
	}

	/**
	 * Returns the history with an attempt that did not complete the answer.
	 * @param target the target that the attempt was sent to
	 * @param delivered the number of tokens delivered so far
	 * @param result the result of the attempt
	 * @return the new history
	 */
	AttemptHistory withAttemptEnded(TargetName target, int delivered, AttemptResult result) {
		RunEvidence current = evidenceOf(result);
		boolean decides = current.compareTo(this.evidence) >= 0;
		return new AttemptHistory(this.started, this.failedTargets.plus(target), this.evidence.worseOf(current),
				decides ? reasonOf(result) : this.refusalReason, decides ? detailOf(result) : this.detail,
				longer(this.retryAfter, retryAfterOf(result)), Math.max(this.tokens, delivered));
	}

	/**
	 * Returns the history with an attempt that was abandoned while it may have been
	 * running.
	 * @return the new history
	 */
	AttemptHistory withAttemptAbandoned() {
		return new AttemptHistory(this.started, this.failedTargets, RunEvidence.UNKNOWN, this.refusalReason,
				this.detail, this.retryAfter, this.tokens);
	}

	AttemptHistory withAttemptCompleted(int delivered) {
		return new AttemptHistory(this.started, this.failedTargets, this.evidence, this.refusalReason, this.detail,
				this.retryAfter, Math.max(this.tokens, delivered));
	}

	/**
	 * Returns the final outcome when no further attempt is made. The attempt with the
	 * worst evidence decides, not the last one: if a target refuses after an earlier
	 * attempt was interrupted, the outcome must not be "not run", or the caller would
	 * retry an order that may have run.
	 * @param minimumRetryAfter the minimum Retry-After
	 * @return the outcome
	 */
	RequestOutcome outcome(Duration minimumRetryAfter) {
		return outcome(this.refusalReason, this.detail, minimumRetryAfter);
	}

	RequestOutcome outcome(RefusalReason reason, String text, Duration minimumRetryAfter) {
		Refusal refusal = Refusal.of(reason, text, longer(this.retryAfter, minimumRetryAfter));
		return switch (this.evidence) {
			case NOT_RUN -> new RequestOutcome.NotRun(refusal);
			case FAILED -> new RequestOutcome.Failed(refusal);
			case UNKNOWN -> new RequestOutcome.Unknown(refusal);
		};
	}

	private static RunEvidence evidenceOf(AttemptResult result) {
		if (result instanceof AttemptResult.RefusedBeforeRunning || result instanceof AttemptResult.NotSent) {
			return RunEvidence.NOT_RUN;
		}
		return (result instanceof AttemptResult.FailedWhileRunning) ? RunEvidence.FAILED : RunEvidence.UNKNOWN;
	}

	private static RefusalReason reasonOf(AttemptResult result) {
		if (result instanceof AttemptResult.RefusedBeforeRunning) {
			return RefusalReason.TARGET_REFUSED;
		}
		if (result instanceof AttemptResult.NotSent) {
			return RefusalReason.NO_TARGET;
		}
		if (result instanceof AttemptResult.Cancelled) {
			return RefusalReason.CALLER_GONE;
		}
		return (result instanceof AttemptResult.FailedWhileRunning) ? RefusalReason.TARGET_FAILED
				: RefusalReason.TARGET_LOST;
	}

	private static String detailOf(AttemptResult result) {
		if (result instanceof AttemptResult.RefusedBeforeRunning refused) {
			return "the target refused before running it: " + refused.detail();
		}
		if (result instanceof AttemptResult.NotSent nothingSent) {
			return "no target could be reached: " + nothingSent.detail();
		}
		if (result instanceof AttemptResult.FailedWhileRunning failed) {
			return "the target failed while running it: " + failed.detail();
		}
		if (result instanceof AttemptResult.Interrupted broken) {
			return "the target was lost while running it: " + broken.detail();
		}
		return "the request was cancelled";
	}

	private static Duration retryAfterOf(AttemptResult result) {
		return Optional.of(result)
			.filter(AttemptResult.RefusedBeforeRunning.class::isInstance)
			.map(AttemptResult.RefusedBeforeRunning.class::cast)
			.map(AttemptResult.RefusedBeforeRunning::retryAfter)
			.orElse(Duration.ZERO);
	}

	private static Duration longer(Duration one, Duration other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

}
