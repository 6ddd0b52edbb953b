package sycamorehill.model.peer;

import java.util.Optional;

import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;

/**
 * Tells the keeper of a key's shard what came of a claim; repeated until it is taken.
 *
 * @param key the key
 * @param mark the mark of the claim
 * @param status how the order ended
 * @param answer the answer to record
 */
public record OrderSettlement(OrderKey key, String mark, OrderStatus status,
		Optional<RecordedAnswer> answer) implements PeerMessage {
}
