package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;

/**
 * A change of a shard that waits to be committed.
 */
sealed interface ShardOperation {

	/**
	 * The key it is about.
	 * @return the key
	 */
	OrderKey key();

	/**
	 * The mark of the claim it is about.
	 * @return the mark
	 */
	String mark();

	/**
	 * Who waits for the answer.
	 * @return the node
	 */
	NodeIdentity requester();

	/**
	 * When it was taken in.
	 * @return own monotonic time
	 */
	Instant takenAt();

	/**
	 * Claims a key for the requester.
	 *
	 * @param key the key
	 * @param mark unique to the caller's call
	 * @param fingerprint content of the order
	 * @param requester who waits and will send
	 * @param takenAt own monotonic time
	 */
	record Claim(OrderKey key, String mark, Fingerprint fingerprint, NodeIdentity requester,
			Instant takenAt) implements ShardOperation {
	}

	/**
	 * Settles a claim of the requester.
	 *
	 * @param key the key
	 * @param mark the claim's mark
	 * @param status how the order ended
	 * @param answer the answer to record
	 * @param requester who waits
	 * @param takenAt own monotonic time
	 */
	record Settle(OrderKey key, String mark, OrderStatus status, Optional<RecordedAnswer> answer,
			NodeIdentity requester, Instant takenAt) implements ShardOperation {
	}

}
