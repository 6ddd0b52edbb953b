package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.RequestDescription;

/**
 * A claim of this node, from the question to the committed settlement.
 *
 * @param key the key
 * @param mark the claim's mark
 * @param request the caller's call, empty for a claim granted after it was given up
 * @param phase how far it is
 * @param startedAt own monotonic time of its beginning
 * @param sends messages sent in this phase
 * @param dueAt when the message is sent again
 * @param status how the order ended
 * @param answer the answer to record
 * @param keptHere whether this node commits the claim itself because the keeper can't be
 * reached
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
	 * How far a held claim is.
	 */
	enum Phase {

		/** Not granted yet; nothing was sent. */
		WAITING,
		/** Granted: the order may be sent. */
		RUNNING,
		/** Over; the keeper is to write how it ended. */
		SETTLING

	}

}
