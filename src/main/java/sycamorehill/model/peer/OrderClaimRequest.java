package sycamorehill.model.peer;

import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;

/**
 * Asks the owner of the shard of a key to commit a claim for the sender.
 *
 * @param key the order key
 * @param fingerprint the fingerprint of the content of the order
 * @param mark the identifier of the request that claims the key
 */
public record OrderClaimRequest(OrderKey key, Fingerprint fingerprint, String mark) implements PeerMessage {
}
