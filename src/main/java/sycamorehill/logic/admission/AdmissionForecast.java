package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.policy.AdmissionPolicy;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * Predicts when a request that arrives now would start.
 *
 * @param queueWait the wait behind the other requests of the service
 * @param limitWait the wait for the workspace's rate limit
 * @param firstToken the time from sending the request to its first token
 * @param idle whether nothing is in flight; a request is then admitted regardless of
 * earlier latencies
 * @param now the current time
 */
record AdmissionForecast(Duration queueWait, Duration limitWait, Duration firstToken, boolean idle, Instant now) {

	private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(200);

	private static final double MILLISECONDS_PER_SECOND = 1000;

	static AdmissionForecast of(ServiceLoad load, LimitState.WorkspaceEntry entry, WorkspaceItem workspace,
			Instant now) {
		double ahead = load.queue().requestsAhead(workspace.name(), Math.max(1, workspace.weight()));
		double requestRate = entry.account().usable().requests();
		double missingRequests = entry.meter().waiting() + 1 - entry.meter().requestLevel();
		// The share can be 0 while loans are on their way, so the request waits for them.
		Duration limitWait = (requestRate > 0 && missingRequests > 0)
				? Duration.ofMillis((long) (missingRequests / requestRate * MILLISECONDS_PER_SECOND)) : Duration.ZERO;
		Duration firstToken = (ahead > 0) ? load.estimate().upperBound(now) : load.estimate().baseline();
		return new AdmissionForecast(load.estimatedWait(ahead), limitWait, firstToken, load.idle(), now);
	}

	Optional<Refusal> refusal(RequestDescription request, AdmissionPolicy policy) {
		Duration slack = Duration.between(this.now, request.deadline());
		if (slack.isNegative() || slack.isZero()) {
			return Optional.of(Refusal.of(RefusalReason.DEADLINE_TOO_SHORT, "the deadline has passed"));
		}
		if (this.limitWait.compareTo(policy.longestLimitWait()) > 0 || this.limitWait.compareTo(slack) > 0) {
			return Optional.of(limitReached(retryAfter(this.limitWait)));
		}
		Duration begin = this.queueWait.plus(this.firstToken);
		if (!this.idle && begin.compareTo(slack) > 0) {
			return Optional.of(Refusal.of(RefusalReason.DEADLINE_TOO_SHORT, "the answer can't begin by the deadline",
					retryAfter(begin.minus(slack))));
		}
		if (this.queueWait.compareTo(policy.longestWait()) > 0) {
			return Optional
				.of(Refusal.of(RefusalReason.OVERLOADED, "the queue is too long", retryAfter(this.queueWait)));
		}
		return Optional.empty();
	}

	static Refusal limitReached(Duration retryAfter) {
		return Refusal.of(RefusalReason.LIMIT_REACHED, "the workspace's limit is reached", retryAfter);
	}

	static Duration retryAfter(Duration wait) {
		return (wait.compareTo(MINIMUM_RETRY_AFTER) > 0) ? wait : MINIMUM_RETRY_AFTER;
	}

}
