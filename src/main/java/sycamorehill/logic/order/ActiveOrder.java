package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.RequestDescription;

/**
 * Tracks an order of this node's callers and its claim, from the claim request to the
 * confirmed settlement.
 *
 * @param key the order's key
 * @param mark the identifier of the caller's request, which identifies the claim
 * @param request the caller's request, empty for a claim that was granted after the
 * request was abandoned
 * @param phase the current phase
 * @param startedAt when the claim was first requested or, in the settling phase, when the
 * settlement began, on this node's monotonic clock
 * @param sends the number of messages sent in this phase
 * @param dueAt when the next message is due, empty if none is
 * @param status the outcome of the order, {@code CLAIMED} until it is known
 * @param answer the answer to record
 * @param keptHere whether this node commits the claim itself because the shard's owner
 * can't be reached
 */
record ActiveOrder(OrderKey key, String mark, Optional<RequestDescription> request, Phase phase, Instant startedAt,
		int sends, Optional<Instant> dueAt, OrderStatus status, Optional<RecordedAnswer> answer, boolean keptHere) {

	static ActiveOrder awaitingClaim(RequestDescription request, Instant now) {
		return new ActiveOrder(request.orderKey().orElseThrow(), request.identifier().toString(), Optional.of(request),
				Phase.WAITING, now, 0, Optional.of(now), OrderStatus.CLAIMED, Optional.empty(), false);
	}

	static ActiveOrder releasingLateGrant(OrderKey key, String mark, Instant now) {
		return new ActiveOrder(key, mark, Optional.empty(), Phase.SETTLING, now, 0, Optional.of(now),
				OrderStatus.RELEASED, Optional.empty(), false);
	}

	ActiveOrder running() {
		return new ActiveOrder(this.key, this.mark, this.request, Phase.RUNNING, this.startedAt, 0, Optional.empty(),
				OrderStatus.CLAIMED, Optional.empty(), this.keptHere);
	}

	ActiveOrder settling(OrderStatus outcome, Optional<RecordedAnswer> recorded, Instant now) {
		return new ActiveOrder(this.key, this.mark, this.request, Phase.SETTLING, now, 0, Optional.of(now), outcome,
				recorded, this.keptHere);
	}

	ActiveOrder withMessageSent(Instant nextSendAt) {
		return new ActiveOrder(this.key, this.mark, this.request, this.phase, this.startedAt, this.sends + 1,
				Optional.of(nextSendAt), this.status, this.answer, this.keptHere);
	}

	ActiveOrder withCommitHere(Instant now) {
		return new ActiveOrder(this.key, this.mark, this.request, this.phase, this.startedAt, this.sends,
				Optional.of(now), this.status, this.answer, true);
	}

	/**
	 * Lists the phases of an active order.
	 */
	enum Phase {

		/** The claim is not granted yet; the order has not been sent. */
		WAITING,
		/** The claim is granted; the order may be sent. */
		RUNNING,
		/** The order has ended or was abandoned; its outcome must be committed. */
		SETTLING

	}

}
