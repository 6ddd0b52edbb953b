package sycamorehill.model.peer;

import java.util.Optional;

import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;

/**
 * Reports the outcome of a claimed order to the owner of the shard of its key. The sender
 * repeats it until it is committed.
 *
 * @param key the order key
 * @param mark the mark of the claim
 * @param status the final status of the order
 * @param answer the answer to record, if any
 */
public record OrderSettlement(OrderKey key, String mark, OrderStatus status,
		Optional<RecordedAnswer> answer) implements PeerMessage {
}
