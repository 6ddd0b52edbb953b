package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;

/**
 * Describes a change to a shard that waits to be committed.
 */
sealed interface ShardOperation {

	/**
	 * Returns the key that the operation changes.
	 * @return the key
	 */
	OrderKey key();

	/**
	 * Returns the mark of the claim that the operation changes.
	 * @return the mark
	 */
	String mark();

	/**
	 * Returns the node that waits for the reply.
	 * @return the node
	 */
	NodeIdentity requester();

	/**
	 * Returns when this node received the operation.
	 * @return the time on this node's monotonic clock
	 */
	Instant takenAt();

	/**
	 * Claims a key for the requester.
	 *
	 * @param key the key
	 * @param mark the identifier of the caller's request, which identifies the claim
	 * @param fingerprint the fingerprint of the order's content
	 * @param requester the node that waits for the reply and sends the order
	 * @param takenAt when this node received the operation, on its monotonic clock
	 */
	record Claim(OrderKey key, String mark, Fingerprint fingerprint, NodeIdentity requester,
			Instant takenAt) implements ShardOperation {
	}

	/**
	 * Settles a claim of the requester.
	 *
	 * @param key the key
	 * @param mark the mark of the claim
	 * @param status the outcome of the order
	 * @param answer the answer to record
	 * @param requester the node that waits for the reply
	 * @param takenAt when this node received the operation, on its monotonic clock
	 */
	record Settle(OrderKey key, String mark, OrderStatus status, Optional<RecordedAnswer> answer,
			NodeIdentity requester, Instant takenAt) implements ShardOperation {
	}

}
