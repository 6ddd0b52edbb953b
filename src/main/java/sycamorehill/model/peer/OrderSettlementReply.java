package sycamorehill.model.peer;

import sycamorehill.model.request.OrderKey;

/**
 * Confirms that an {@link OrderSettlement} is committed.
 *
 * @param key the order key
 * @param mark the mark of the claim
 */
public record OrderSettlementReply(OrderKey key, String mark) implements PeerMessage {
}
