package sycamorehill.model.order;

import java.util.Optional;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;

/**
 * The stored claim of one order key.
 *
 * @param key the order key
 * @param fingerprint the fingerprint of the content that the key was first used with
 * @param holder the node that may send the order to a target
 * @param mark the identifier of the request that claims the key. After an answer was
 * lost, it tells whether this request or another one holds the claim
 * @param status the status of the order
 * @param answer the recorded answer, if any
 * @param claimedAt the wall-clock time of the claiming node in milliseconds since the
 * epoch. It is used only for expiry, and the retention allows for clock skew
 */
public record OrderClaim(OrderKey key, Fingerprint fingerprint, NodeIncarnation holder, String mark, OrderStatus status,
		Optional<RecordedAnswer> answer, long claimedAt) {

}
