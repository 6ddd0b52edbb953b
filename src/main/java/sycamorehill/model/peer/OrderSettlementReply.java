package sycamorehill.model.peer;

import sycamorehill.model.request.OrderKey;

/**
 * Says that an {@link OrderSettlement} is committed.
 *
 * @param key the key
 * @param mark the mark of the claim
 */
public record OrderSettlementReply(OrderKey key, String mark) implements PeerMessage {
}
