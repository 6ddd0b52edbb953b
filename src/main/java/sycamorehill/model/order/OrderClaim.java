package sycamorehill.model.order;

import java.util.Optional;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;

/**
 * What is kept of one order key.
 *
 * @param key the key
 * @param fingerprint content it was first used with
 * @param holder who may send it
 * @param mark unique to one call of one caller: tells a lost answer from a lost race
 * @param status how far it is
 * @param answer the recorded answer
 * @param claimedAt wall clock of the claimer in milliseconds, for the expiry, whose bound
 * allows for skew
 */
public record OrderClaim(OrderKey key, Fingerprint fingerprint, NodeIncarnation holder, String mark, OrderStatus status,
		Optional<RecordedAnswer> answer, long claimedAt) {

}
