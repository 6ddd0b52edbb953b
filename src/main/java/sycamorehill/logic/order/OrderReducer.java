package sycamorehill.logic.order;

import java.time.Instant;

import org.pcollections.TreePSet;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.peer.OrderClaimReply;
import sycamorehill.model.peer.OrderClaimRequest;
import sycamorehill.model.peer.OrderSettlement;
import sycamorehill.model.peer.OrderSettlementReply;
import sycamorehill.model.peer.PeerMessage;

/**
 * Ensures that orders run at most once, by claims on their idempotency keys. The node
 * that receives the caller's request holds the claim and sends the order. The owner of
 * the key's shard, which may be another node, commits claims and settlements to the
 * platform in batches. Owners only reduce the number of writes; safety depends on the
 * conditional update alone.
 */
public final class OrderReducer implements Reducer<OrderState> {

	private OrderReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static OrderReducer create() {
		return new OrderReducer();
	}

	@Override
	public Step<OrderState> reduce(OrderState state, Instant now, Event event, NodeView view) {
		OrderStep step = new OrderStep(state, now, view);
		handleEvent(step, event);
		handleMessagesToSelf(step);
		handleDueEntries(step);
		return step.result();
	}

	private static void handleEvent(OrderStep step, Event event) {
		if (event instanceof RequestEvent.Admitted admitted) {
			ClaimHolder.handleAdmitted(step, admitted);
		}
		else if (event instanceof RequestEvent.Finished finished) {
			ClaimHolder.handleFinished(step, finished);
		}
		else if (event instanceof PeerEvent.MessageReceived received) {
			handleMessage(step, received.from(), received.message());
		}
		else if (event instanceof PeerEvent.SendFailed failed) {
			ClaimHolder.handleSendFailed(step, failed.message());
		}
		else if (event instanceof PlatformEvent.Answered answered && answered.call().owner() == CallOwner.ORDERS) {
			ShardCommitter.handlePlatformAnswer(step, answered);
		}
		else if (event instanceof NodeEvent.Ticked ticked) {
			step.replaceState(step.state().withWallClock(ticked.wallClock().toEpochMilli()));
		}
	}

	private static void handleMessage(OrderStep step, NodeIdentity from, PeerMessage message) {
		if (message instanceof OrderClaimRequest request) {
			ShardCommitter.handleOperation(step,
					new ShardOperation.Claim(request.key(), request.mark(), request.fingerprint(), from, step.now()));
		}
		else if (message instanceof OrderSettlement settlement) {
			ShardCommitter.handleOperation(step, new ShardOperation.Settle(settlement.key(), settlement.mark(),
					settlement.status(), settlement.answer(), from, step.now()));
		}
		else if (message instanceof OrderClaimReply reply) {
			ClaimHolder.handleClaimReply(step, reply);
		}
		else if (message instanceof OrderSettlementReply reply) {
			ClaimHolder.handleSettlementReply(step, reply);
		}
	}

	private static void handleMessagesToSelf(OrderStep step) {
		for (PeerMessage message = step.nextMessageToSelf(); message != null; message = step.nextMessageToSelf()) {
			handleMessage(step, step.view().self(), message);
		}
	}

	private static void handleDueEntries(OrderStep step) {
		while (isDue(step.state().dueHeld(), step.now()) || isDue(step.state().dueShards(), step.now())
				|| isDue(step.state().issuedByExpiry(), step.now())) {
			if (isDue(step.state().dueHeld(), step.now())) {
				ClaimHolder.sendDueMessage(step, step.state().held().get(step.state().dueHeld().first().what()));
			}
			else if (isDue(step.state().dueShards(), step.now())) {
				ShardCommitter.advance(step, step.state().shards().get(step.state().dueShards().first().what()));
			}
			else {
				IssuedClaims.removeFirstExpired(step);
			}
			handleMessagesToSelf(step);
		}
	}

	private static <T extends Comparable<T>> boolean isDue(TreePSet<DueEntry<T>> all, Instant now) {
		return !all.isEmpty() && !all.first().at().isAfter(now);
	}

}
