package sycamorehill.gateway;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RequestOutcome;

/**
 * A problem document (RFC 9457) for a caller.
 *
 * @param status the HTTP status
 * @param outcome whether the request ran: not-run, failed or unknown
 * @param reason the refusal reason in lower case with hyphens
 * @param detail one sentence for people
 * @param retryAfter when to come back, if that helps
 */
record Problem(int status, String outcome, String reason, String detail, Optional<Duration> retryAfter) {

	static Problem of(RequestOutcome outcome) {
		Refusal refusal = refusal(outcome);
		return new Problem(ProblemStatus.of(refusal.reason()), OutcomeName.of(outcome), name(refusal), refusal.detail(),
				refusal.retryAfter());
	}

	static Problem notRun(int status, String reason, String detail) {
		return new Problem(status, OutcomeName.NOT_RUN, reason, detail, Optional.empty());
	}

	private static String name(Refusal refusal) {
		return refusal.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static Refusal refusal(RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			return notRun.refusal();
		}
		if (outcome instanceof RequestOutcome.Failed failed) {
			return failed.refusal();
		}
		if (outcome instanceof RequestOutcome.Unknown unknown) {
			return unknown.refusal();
		}
		throw new IllegalArgumentException("no refusal in " + outcome);
	}

}
