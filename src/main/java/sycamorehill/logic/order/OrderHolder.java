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
 * The claims of this node's own callers: asks for the claim, clears the order once it is
 * granted and has the end of it written down.
 */
final class OrderHolder {

	private static final int MOST_DOUBLINGS = 5;

	private OrderHolder() {
	}

	static void admitted(OrderStep step, RequestEvent.Admitted event) {
		RequestDescription request = event.request();
		if (event.handling() != Idempotency.ONCE_WITH_KEY) {
			step.raise(new RequestEvent.Cleared(request, event.handling()));
			return;
		}
		String mark = step.state().marks().get(request.orderKey().orElseThrow());
		if (mark != null) {
			step.refuse(request, OrderOutcomes.duplicate(request, step.state().held().get(mark)));
		}
		else if (step.state().held().size() >= step.policy().mostHeld()) {
			step.refuse(request, OrderOutcomes.tooMany());
		}
		else {
			step.replace(step.state().with(HeldOrder.waiting(request, step.now())));
		}
	}

	static void wake(OrderStep step, HeldOrder order) {
		if (order.phase() == HeldOrder.Phase.WAITING) {
			ask(step, order);
		}
		else {
			settle(step, order);
		}
	}

	private static void ask(OrderStep step, HeldOrder order) {
		RequestDescription request = order.request().orElseThrow();
		Instant patienceEnd = order.startedAt().plus(step.policy().claimPatience());
		Instant giveUpAt = patienceEnd.isBefore(request.deadline()) ? patienceEnd : request.deadline();
		if (!step.now().isBefore(giveUpAt)) {
			giveUp(step, order, OrderOutcomes.claimsUnavailable());
			return;
		}
		Optional<NodeIdentity> keeper = keeper(step, order);
		if (keeper.isEmpty()) {
			step.replace(step.state().without(order));
			step.refuse(request, OrderOutcomes.issuerGone());
			return;
		}
		Instant again = step.now().plus(step.policy().claimRetry());
		step.replace(step.state().with(order.sent(again.isBefore(giveUpAt) ? again : giveUpAt)));
		step.send(keeper.get(), new OrderClaimRequest(order.key(), request.fingerprint(), order.mark()));
	}

	private static Optional<NodeIdentity> keeper(OrderStep step, HeldOrder order) {
		if (OrderNumbers.isIssued(order.key())) {
			return Optional.ofNullable(ShardPlacement.issuer(order.key(), step.view()));
		}
		if (order.keptHere()) {
			return Optional.of(step.view().self());
		}
		int shard = ShardPlacement.shardOf(order.key(), step.policy().shards());
		return Optional.of(ShardPlacement.keeper(shard, step.view()));
	}

	private static void giveUp(OrderStep step, HeldOrder order, RequestOutcome outcome) {
		step.logSometimes(LogEvent.ORDER_CLAIMS_UNAVAILABLE, "service=" + order.request().orElseThrow().service());
		step.refuse(order.request().orElseThrow(), outcome);
		release(step, order);
	}

	// The claim may be committed later, by a slow keeper or a late write: it must then be
	// released, or the caller's next try would hear "still running" until it expires.
	private static void release(OrderStep step, HeldOrder order) {
		if (order.sends() == 0) {
			step.replace(step.state().without(order));
			return;
		}
		step.replace(step.state().with(order.settling(OrderStatus.RELEASED, Optional.empty(), step.now())));
	}

	static void answered(OrderStep step, OrderClaimReply reply) {
		HeldOrder order = step.state().held().get(reply.mark());
		if (order == null) {
			if (reply.verdict() == OrderClaimDecision.GRANTED) {
				step.replace(step.state().with(HeldOrder.grantedTooLate(reply.key(), reply.mark(), step.now())));
			}
			return;
		}
		// A second answer to the same question must not clear the order a second
		// time, and an answer after the caller heard "not run" must not clear it at
		// all.
		if (order.phase() != HeldOrder.Phase.WAITING) {
			return;
		}
		RequestDescription request = order.request().orElseThrow();
		if (reply.verdict() == OrderClaimDecision.GRANTED) {
			step.replace(step.state().with(order.running()));
			step.raise(new RequestEvent.Cleared(request, Idempotency.ONCE_WITH_KEY));
		}
		else if (reply.verdict() == OrderClaimDecision.NOT_TAKEN) {
			giveUp(step, order, OrderOutcomes.claimsUnavailable());
		}
		else {
			step.replace(step.state().without(order));
			step.refuse(request, OrderOutcomes.of(reply));
		}
	}

	static void finished(OrderStep step, RequestEvent.Finished event) {
		HeldOrder order = step.state().held().get(event.request().identifier().toString());
		if (order == null) {
			return;
		}
		if (order.phase() == HeldOrder.Phase.WAITING) {
			release(step, order);
		}
		else if (order.phase() == HeldOrder.Phase.RUNNING) {
			ended(step, order, event);
		}
	}

	private static void ended(OrderStep step, HeldOrder order, RequestEvent.Finished event) {
		OrderStatus status = OrderOutcomes.status(event.outcome());
		Optional<RecordedAnswer> kept = (status == OrderStatus.RECORDED) ? event.answer() : Optional.empty();
		int largest = step.policy().largestAnswer();
		step.replace(step.state()
			.with(order.settling(status, kept.filter((answer) -> answer.body().length() <= largest), step.now())));
		if (status == OrderStatus.UNKNOWN) {
			step.log(LogEvent.ORDER_OUTCOME_UNKNOWN,
					"request=" + order.mark() + " service=" + event.request().service());
		}
	}

	// A settlement is not dropped while its claim is kept anywhere, however long the
	// platform is down or the issuer out of sight: a grant for a mark that is not
	// held any more is taken as given up and released, and the order would run twice.
	private static void settle(OrderStep step, HeldOrder order) {
		Optional<NodeIdentity> keeper = keeper(step, order);
		if (OrderNumbers.isIssued(order.key()) && issuerHasForgotten(step, order)) {
			step.replace(step.state().without(order));
			return;
		}
		Duration wait = step.policy().settlementRetry().multipliedBy(1L << Math.min(order.sends(), MOST_DOUBLINGS));
		step.replace(step.state().with(order.sent(step.now().plus(wait))));
		keeper.ifPresent((node) -> step.send(node,
				new OrderSettlement(order.key(), order.mark(), order.status(), order.answer())));
	}

	private static boolean issuerHasForgotten(OrderStep step, HeldOrder order) {
		Duration kept = step.policy().issuedLifetime().multipliedBy(2);
		return step.now().isAfter(order.startedAt().plus(kept));
	}

	static void settled(OrderStep step, OrderSettlementReply reply) {
		HeldOrder order = step.state().held().get(reply.mark());
		if (order != null && order.phase() == HeldOrder.Phase.SETTLING) {
			step.replace(step.state().without(order));
		}
	}

	static void sendFailed(OrderStep step, PeerMessage message) {
		if (message instanceof OrderClaimRequest request) {
			keepHere(step, request.key(), request.mark(), HeldOrder.Phase.WAITING);
		}
		else if (message instanceof OrderSettlement settlement) {
			keepHere(step, settlement.key(), settlement.mark(), HeldOrder.Phase.SETTLING);
		}
	}

	// The keeper can't be reached, and membership may take seconds to say so. To commit
	// the claim here is safe: the conditional update decides between the two.
	private static void keepHere(OrderStep step, OrderKey key, String mark, HeldOrder.Phase phase) {
		HeldOrder order = step.state().held().get(mark);
		if (order != null && order.phase() == phase && !order.keptHere() && !OrderNumbers.isIssued(key)) {
			step.replace(step.state().with(order.keptHere(step.now())));
		}
	}

}
