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
 * When a request that arrives now would begin.
 *
 * @param queueWait wait behind the others of its service
 * @param limitWait wait for its workspace's limit
 * @param firstToken time from its sending to its first token
 * @param idle whether nothing is in flight: then it is tried whatever was measured before
 * @param now the time
 */
record Forecast(Duration queueWait, Duration limitWait, Duration firstToken, boolean idle, Instant now) {

	private static final Duration SHORTEST_COME_BACK = Duration.ofMillis(200);

	private static final double MILLIS = 1000;

	static Forecast of(ServiceLoad load, LimitState.Entry entry, WorkspaceItem workspace, Instant now) {
		double ahead = load.queue().ahead(workspace.name(), Math.max(1, workspace.weight()));
		double share = entry.account().usable().requests();
		double missing = entry.meter().waiting() + 1 - entry.meter().requestLevel();
		// A share of 0 may mean that loans are on their way: it waits for them.
		Duration limitWait = (share > 0 && missing > 0) ? Duration.ofMillis((long) (missing / share * MILLIS))
				: Duration.ZERO;
		Duration firstToken = (ahead > 0) ? load.estimate().bound(now) : load.estimate().rest();
		return new Forecast(load.waitBehind(ahead), limitWait, firstToken, load.idle(), now);
	}

	Optional<Refusal> refusal(RequestDescription request, AdmissionPolicy policy) {
		Duration slack = Duration.between(this.now, request.deadline());
		if (slack.isNegative() || slack.isZero()) {
			return Optional.of(Refusal.of(RefusalReason.DEADLINE_TOO_SHORT, "the deadline has passed"));
		}
		if (this.limitWait.compareTo(policy.longestLimitWait()) > 0 || this.limitWait.compareTo(slack) > 0) {
			return Optional.of(limitReached(comeBack(this.limitWait)));
		}
		Duration begin = this.queueWait.plus(this.firstToken);
		if (!this.idle && begin.compareTo(slack) > 0) {
			return Optional.of(Refusal.of(RefusalReason.DEADLINE_TOO_SHORT, "the answer can't begin by the deadline",
					comeBack(begin.minus(slack))));
		}
		if (this.queueWait.compareTo(policy.longestWait()) > 0) {
			return Optional.of(Refusal.of(RefusalReason.OVERLOADED, "the queue is too long", comeBack(this.queueWait)));
		}
		return Optional.empty();
	}

	static Refusal limitReached(Duration comeBack) {
		return Refusal.of(RefusalReason.LIMIT_REACHED, "the workspace's limit is reached", comeBack);
	}

	static Duration comeBack(Duration wait) {
		return (wait.compareTo(SHORTEST_COME_BACK) > 0) ? wait : SHORTEST_COME_BACK;
	}

}
