package sycamorehill.model.peer;

import java.util.Optional;

import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;

/**
 * Answers {@link OrderClaimRequest}.
 *
 * @param key the order key
 * @param mark the mark of the request
 * @param verdict the decision on the claim
 * @param answer the recorded answer, if there is one
 */
public record OrderClaimReply(OrderKey key, String mark, OrderClaimDecision verdict,
		Optional<RecordedAnswer> answer) implements PeerMessage {
}
