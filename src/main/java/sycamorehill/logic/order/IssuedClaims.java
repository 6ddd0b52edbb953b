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
 * Claims of the order numbers that this incarnation issued, kept in its memory alone:
 * they need no platform. What this incarnation has forgotten, or another one issued, is
 * never granted, since nobody can tell whether it ran.
 */
final class IssuedClaims {

	private static final Duration ROUNDING = Duration.ofSeconds(2);

	private IssuedClaims() {
	}

	static void take(OrderStep step, ShardOperation operation) {
		OrderKey key = operation.key();
		OrderClaim existing = step.state().issued().get(key);
		Duration lifetime = step.policy().issuedLifetime();
		boolean mayBeForgotten = existing == null && OrderNumbers.age(key, step.now()).compareTo(lifetime) > 0;
		if (mayBeForgotten || !OrderNumbers.isIssuedBy(key, step.view().self().incarnation())) {
			refuse(step, operation);
			return;
		}
		ClaimRules.Decision decision = step.rules().decide(existing, operation);
		if (decision.change().isPresent() && existing == null
				&& step.state().issued().size() >= step.policy().mostClaims()) {
			step.send(operation.requester(),
					ClaimRules.reply(operation, OrderClaimDecision.NOT_TAKEN, Optional.empty()));
			return;
		}
		decision.change().ifPresent((claim) -> put(step, claim, existing == null));
		step.send(operation.requester(), decision.reply());
		decision.reminder().ifPresent((reminder) -> step.send(reminder.to(), reminder.message()));
	}

	static void forgetFirst(OrderStep step) {
		TreePSet<Due<OrderKey>> byExpiry = step.state().issuedByExpiry();
		Due<OrderKey> first = byExpiry.first();
		step.replace(step.state().withIssued(step.state().issued().minus(first.what()), byExpiry.minus(first)));
	}

	private static void refuse(OrderStep step, ShardOperation operation) {
		step.send(operation.requester(),
				(operation instanceof ShardOperation.Settle)
						? new OrderSettlementReply(operation.key(), operation.mark())
						: ClaimRules.reply(operation, OrderClaimDecision.UNKNOWN, Optional.empty()));
	}

	private static void put(OrderStep step, OrderClaim claim, boolean isNew) {
		PMap<OrderKey, OrderClaim> claims = step.state().issued().plus(claim.key(), claim);
		TreePSet<Due<OrderKey>> byExpiry = step.state().issuedByExpiry();
		if (isNew) {
			Duration left = step.policy().issuedLifetime().minus(OrderNumbers.age(claim.key(), step.now()));
			Instant expiry = step.now().plus(left).plus(ROUNDING);
			byExpiry = byExpiry.plus(new Due<>(expiry, claim.key()));
		}
		step.replace(step.state().withIssued(claims, byExpiry));
	}

}
