package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.peer.OrderClaimReply;
import sycamorehill.model.peer.OrderClaimRequest;
import sycamorehill.model.peer.OrderSettlement;
import sycamorehill.model.peer.OrderSettlementReply;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;

/**
 * Manages the claims for orders of this node's callers: requests a claim, clears the
 * order once the claim is granted, and has the outcome committed.
 */
final class ClaimHolder {

	private static final int MAXIMUM_RETRY_DOUBLINGS = 5;

	private ClaimHolder() {
	}

	static void handleAdmitted(OrderStep step, RequestEvent.Admitted event) {
		RequestDescription request = event.request();
		if (event.idempotency() != Idempotency.ONCE_WITH_KEY) {
			step.raise(new RequestEvent.Cleared(request, event.idempotency()));
			return;
		}
		String mark = step.state().marks().get(request.orderKey().orElseThrow());
		if (mark != null) {
			step.refuse(request, OrderOutcomes.ofDuplicate(request, step.state().held().get(mark)));
		}
		else if (step.state().held().size() >= step.policy().mostHeld()) {
			step.refuse(request, OrderOutcomes.tooManyOrders());
		}
		else {
			step.replaceState(step.state().with(ActiveOrder.awaitingClaim(request, step.now())));
		}
	}

	static void sendDueMessage(OrderStep step, ActiveOrder order) {
		if (order.phase() == ActiveOrder.Phase.WAITING) {
			requestClaim(step, order);
		}
		else {
			sendSettlement(step, order);
		}
	}

	private static void requestClaim(OrderStep step, ActiveOrder order) {
		RequestDescription request = order.request().orElseThrow();
		Instant timeoutAt = order.startedAt().plus(step.policy().claimPatience());
		Instant abandonAt = timeoutAt.isBefore(request.deadline()) ? timeoutAt : request.deadline();
		if (!step.now().isBefore(abandonAt)) {
			abandon(step, order, OrderOutcomes.claimsUnavailable());
			return;
		}
		Optional<NodeIdentity> committer = committingNode(step, order);
		if (committer.isEmpty()) {
			step.replaceState(step.state().without(order));
			step.refuse(request, OrderOutcomes.issuerUnreachable());
			return;
		}
		Instant nextSendAt = step.now().plus(step.policy().claimRetry());
		step.replaceState(
				step.state().with(order.withMessageSent(nextSendAt.isBefore(abandonAt) ? nextSendAt : abandonAt)));
		step.send(committer.get(), new OrderClaimRequest(order.key(), request.fingerprint(), order.mark()));
	}

	private static Optional<NodeIdentity> committingNode(OrderStep step, ActiveOrder order) {
		if (OrderNumbers.isIssued(order.key())) {
			return Optional.ofNullable(ShardPlacement.issuer(order.key(), step.view()));
		}
		if (order.keptHere()) {
			return Optional.of(step.view().self());
		}
		int shard = ShardPlacement.shardOf(order.key(), step.policy().shards());
		return Optional.of(ShardPlacement.owner(shard, step.view()));
	}

	private static void abandon(OrderStep step, ActiveOrder order, RequestOutcome outcome) {
		step.logRateLimited(LogEvent.ORDER_CLAIMS_UNAVAILABLE, "service=" + order.request().orElseThrow().service());
		step.refuse(order.request().orElseThrow(), outcome);
		release(step, order);
	}

	// A slow owner or a delayed write may still commit the claim. It must then be
	// released, or the caller's next attempt would be answered "still running" until
	// the claim expires.
	private static void release(OrderStep step, ActiveOrder order) {
		if (order.sends() == 0) {
			step.replaceState(step.state().without(order));
			return;
		}
		step.replaceState(step.state().with(order.settling(OrderStatus.RELEASED, Optional.empty(), step.now())));
	}

	static void handleClaimReply(OrderStep step, OrderClaimReply reply) {
		ActiveOrder order = step.state().held().get(reply.mark());
		if (order == null) {
			if (reply.verdict() == OrderClaimDecision.GRANTED) {
				step.replaceState(
						step.state().with(ActiveOrder.releasingLateGrant(reply.key(), reply.mark(), step.now())));
			}
			return;
		}
		// A duplicate reply must not clear the order a second time, and a reply that
		// arrives after the caller received "not run" must not clear it at all.
		if (order.phase() != ActiveOrder.Phase.WAITING) {
			return;
		}
		RequestDescription request = order.request().orElseThrow();
		if (reply.verdict() == OrderClaimDecision.GRANTED) {
			step.replaceState(step.state().with(order.running()));
			step.raise(new RequestEvent.Cleared(request, Idempotency.ONCE_WITH_KEY));
		}
		else if (reply.verdict() == OrderClaimDecision.NOT_TAKEN) {
			abandon(step, order, OrderOutcomes.claimsUnavailable());
		}
		else {
			step.replaceState(step.state().without(order));
			step.refuse(request, OrderOutcomes.ofReply(reply));
		}
	}

	static void handleFinished(OrderStep step, RequestEvent.Finished event) {
		ActiveOrder order = step.state().held().get(event.request().identifier().toString());
		if (order == null) {
			return;
		}
		if (order.phase() == ActiveOrder.Phase.WAITING) {
			release(step, order);
		}
		else if (order.phase() == ActiveOrder.Phase.RUNNING) {
			startSettlement(step, order, event);
		}
	}

	private static void startSettlement(OrderStep step, ActiveOrder order, RequestEvent.Finished event) {
		OrderStatus status = OrderOutcomes.statusOf(event.outcome());
		Optional<RecordedAnswer> recorded = (status == OrderStatus.RECORDED) ? event.answer() : Optional.empty();
		int maximumLength = step.policy().largestAnswer();
		step.replaceState(step.state()
			.with(order.settling(status, recorded.filter((answer) -> answer.body().length() <= maximumLength),
					step.now())));
		if (status == OrderStatus.UNKNOWN) {
			step.log(LogEvent.ORDER_OUTCOME_UNKNOWN,
					"request=" + order.mark() + " service=" + event.request().service());
		}
	}

	// A settlement is not dropped while any node may keep its claim, however long
	// the platform is down or the issuer is missing from the live nodes. A grant for
	// an unknown mark is taken for the grant of an abandoned request and released,
	// so the order could run twice.
	private static void sendSettlement(OrderStep step, ActiveOrder order) {
		Optional<NodeIdentity> committer = committingNode(step, order);
		if (OrderNumbers.isIssued(order.key()) && isForgottenByIssuer(step, order)) {
			step.replaceState(step.state().without(order));
			return;
		}
		Duration retryDelay = step.policy()
			.settlementRetry()
			.multipliedBy(1L << Math.min(order.sends(), MAXIMUM_RETRY_DOUBLINGS));
		step.replaceState(step.state().with(order.withMessageSent(step.now().plus(retryDelay))));
		committer.ifPresent((node) -> step.send(node,
				new OrderSettlement(order.key(), order.mark(), order.status(), order.answer())));
	}

	private static boolean isForgottenByIssuer(OrderStep step, ActiveOrder order) {
		Duration retained = step.policy().issuedLifetime().multipliedBy(2);
		return step.now().isAfter(order.startedAt().plus(retained));
	}

	static void handleSettlementReply(OrderStep step, OrderSettlementReply reply) {
		ActiveOrder order = step.state().held().get(reply.mark());
		if (order != null && order.phase() == ActiveOrder.Phase.SETTLING) {
			step.replaceState(step.state().without(order));
		}
	}

	static void handleSendFailed(OrderStep step, PeerMessage message) {
		if (message instanceof OrderClaimRequest request) {
			commitHere(step, request.key(), request.mark(), ActiveOrder.Phase.WAITING);
		}
		else if (message instanceof OrderSettlement settlement) {
			commitHere(step, settlement.key(), settlement.mark(), ActiveOrder.Phase.SETTLING);
		}
	}

	// The owner can't be reached, and it may take seconds until the membership shows
	// this. Committing the claim at this node is safe, because the conditional
	// update lets only one of two competing writes succeed.
	private static void commitHere(OrderStep step, OrderKey key, String mark, ActiveOrder.Phase phase) {
		ActiveOrder order = step.state().held().get(mark);
		if (order != null && order.phase() == phase && !order.keptHere() && !OrderNumbers.isIssued(key)) {
			step.replaceState(step.state().with(order.withCommitHere(step.now())));
		}
	}

}
