package sycamorehill.model.peer;

import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;

/**
 * Asks the keeper of a key's shard to commit a claim for the sender.
 *
 * @param key the key
 * @param fingerprint content of the order
 * @param mark unique to the caller's call
 */
public record OrderClaimRequest(OrderKey key, Fingerprint fingerprint, String mark) implements PeerMessage {
}
