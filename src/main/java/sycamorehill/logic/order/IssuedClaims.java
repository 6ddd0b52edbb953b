package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.pcollections.PMap;
import org.pcollections.TreePSet;

import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.peer.OrderSettlementReply;
import sycamorehill.model.request.OrderKey;

/**
 * Keeps the claims of the order numbers that this incarnation issued. The claims are kept
 * in memory only and need no platform. A number that this incarnation has forgotten, or
 * that another incarnation issued, is never granted, because no node knows whether its
 * order ran.
 */
final class IssuedClaims {

	// The age of an order number is known to the second only.
	private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(2);

	private IssuedClaims() {
	}

	static void handleOperation(OrderStep step, ShardOperation operation) {
		OrderKey key = operation.key();
		OrderClaim existing = step.state().issued().get(key);
		Duration lifetime = step.policy().issuedLifetime();
		boolean mayHaveExpired = existing == null && OrderNumbers.age(key, step.now()).compareTo(lifetime) > 0;
		if (mayHaveExpired || !OrderNumbers.isIssuedBy(key, step.view().self().incarnation())) {
			refuse(step, operation);
			return;
		}
		ClaimRules.Decision decision = step.rules().decide(existing, operation);
		if (decision.change().isPresent() && existing == null
				&& step.state().issued().size() >= step.policy().mostClaims()) {
			step.send(operation.requester(),
					ClaimRules.claimReply(operation, OrderClaimDecision.NOT_TAKEN, Optional.empty()));
			return;
		}
		decision.change().ifPresent((claim) -> storeClaim(step, claim, existing == null));
		step.send(operation.requester(), decision.reply());
		decision.reminder().ifPresent((reminder) -> step.send(reminder.to(), reminder.message()));
	}

	static void removeFirstExpired(OrderStep step) {
		TreePSet<DueEntry<OrderKey>> byExpiry = step.state().issuedByExpiry();
		DueEntry<OrderKey> first = byExpiry.first();
		step.replaceState(step.state().withIssued(step.state().issued().minus(first.what()), byExpiry.minus(first)));
	}

	private static void refuse(OrderStep step, ShardOperation operation) {
		step.send(operation.requester(),
				(operation instanceof ShardOperation.Settle)
						? new OrderSettlementReply(operation.key(), operation.mark())
						: ClaimRules.claimReply(operation, OrderClaimDecision.UNKNOWN, Optional.empty()));
	}

	private static void storeClaim(OrderStep step, OrderClaim claim, boolean isNew) {
		PMap<OrderKey, OrderClaim> claims = step.state().issued().plus(claim.key(), claim);
		TreePSet<DueEntry<OrderKey>> byExpiry = step.state().issuedByExpiry();
		if (isNew) {
			Duration remaining = step.policy().issuedLifetime().minus(OrderNumbers.age(claim.key(), step.now()));
			Instant expiry = step.now().plus(remaining).plus(EXPIRY_MARGIN);
			byExpiry = byExpiry.plus(new DueEntry<>(expiry, claim.key()));
		}
		step.replaceState(step.state().withIssued(claims, byExpiry));
	}

}
