package sycamorehill.logic.order;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.peer.OrderClaimReply;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;

/**
 * Creates the outcomes that callers of orders receive. "Not run" is returned only for a
 * call that was never cleared. A call is answered "unknown" while another call with the
 * same content holds its key, because that order may be running.
 */
final class OrderOutcomes {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private OrderOutcomes() {
	}

	static RequestOutcome claimsUnavailable() {
		return notRun(RefusalReason.ORDER_STORE_UNAVAILABLE, "the idempotency key could not be claimed in time");
	}

	static RequestOutcome tooManyOrders() {
		return notRun(RefusalReason.OVERLOADED, "too many orders are under way at this node");
	}

	static RequestOutcome issuerUnreachable() {
		return new RequestOutcome.Unknown(Refusal.of(RefusalReason.TARGET_LOST,
				"the node that issued this order number can't be reached, and only it knows whether the order ran"));
	}

	static RequestOutcome ofDuplicate(RequestDescription request, ActiveOrder earlier) {
		boolean sameContent = earlier.request()
			.map((original) -> original.fingerprint().equals(request.fingerprint()))
			.orElse(true);
		if (!sameContent) {
			return keyReused();
		}
		if (earlier.phase() != ActiveOrder.Phase.SETTLING) {
			return stillRunning();
		}
		return switch (earlier.status()) {
			case RECORDED -> replayed(earlier.answer());
			case RELEASED -> notRun(RefusalReason.ORDER_STORE_UNAVAILABLE, "the last try is still being released");
			default -> unknown();
		};
	}

	static RequestOutcome ofReply(OrderClaimReply reply) {
		return switch (reply.verdict()) {
			case RECORDED -> replayed(reply.answer());
			case KEY_REUSED -> keyReused();
			case RUNNING -> stillRunning();
			default -> unknown();
		};
	}

	static OrderStatus statusOf(RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.NotRun) {
			return OrderStatus.RELEASED;
		}
		return (outcome instanceof RequestOutcome.Completed) ? OrderStatus.RECORDED : OrderStatus.UNKNOWN;
	}

	private static RequestOutcome keyReused() {
		return new RequestOutcome.NotRun(
				Refusal.of(RefusalReason.KEY_REUSED, "the idempotency key was used with other content"));
	}

	private static RequestOutcome stillRunning() {
		return new RequestOutcome.Unknown(Refusal.of(RefusalReason.STILL_RUNNING,
				"an earlier call with the same idempotency key has not ended", RETRY_AFTER));
	}

	private static RequestOutcome unknown() {
		return new RequestOutcome.Unknown(Refusal.of(RefusalReason.TARGET_LOST,
				"whether an earlier call with the same idempotency key ran can't be told; it is not run again"));
	}

	private static RequestOutcome replayed(Optional<RecordedAnswer> answer) {
		return answer.<RequestOutcome>map(RequestOutcome.Replayed::new)
			.orElseGet(() -> new RequestOutcome.Unknown(Refusal.of(RefusalReason.TARGET_LOST,
					"an earlier call with the same idempotency key ran; its answer was too large to be kept")));
	}

	private static RequestOutcome notRun(RefusalReason reason, String detail) {
		return new RequestOutcome.NotRun(Refusal.of(reason, detail, RETRY_AFTER));
	}

}
