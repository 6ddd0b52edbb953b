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
 * At-most-once orders by claims. The node that has the caller's request holds the claim
 * and sends the order; the keeper of the key's shard, which may be another node, commits
 * claims and settlements to the platform in batches. The keeper saves writes; the
 * conditional update alone gives safety.
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
		take(step, event);
		takeMessagesToSelf(step);
		wake(step);
		return step.result();
	}

	private static void take(OrderStep step, Event event) {
		if (event instanceof RequestEvent.Admitted admitted) {
			OrderHolder.admitted(step, admitted);
		}
		else if (event instanceof RequestEvent.Finished finished) {
			OrderHolder.finished(step, finished);
		}
		else if (event instanceof PeerEvent.MessageReceived received) {
			message(step, received.from(), received.message());
		}
		else if (event instanceof PeerEvent.SendFailed failed) {
			OrderHolder.sendFailed(step, failed.message());
		}
		else if (event instanceof PlatformEvent.Answered answered && answered.call().owner() == CallOwner.ORDERS) {
			ShardKeeper.answered(step, answered);
		}
		else if (event instanceof NodeEvent.Ticked ticked) {
			step.replace(step.state().withWallClock(ticked.wallClock().toEpochMilli()));
		}
	}

	private static void message(OrderStep step, NodeIdentity from, PeerMessage message) {
		if (message instanceof OrderClaimRequest request) {
			ShardKeeper.take(step,
					new ShardOperation.Claim(request.key(), request.mark(), request.fingerprint(), from, step.now()));
		}
		else if (message instanceof OrderSettlement settlement) {
			ShardKeeper.take(step, new ShardOperation.Settle(settlement.key(), settlement.mark(), settlement.status(),
					settlement.answer(), from, step.now()));
		}
		else if (message instanceof OrderClaimReply reply) {
			OrderHolder.answered(step, reply);
		}
		else if (message instanceof OrderSettlementReply reply) {
			OrderHolder.settled(step, reply);
		}
	}

	private static void takeMessagesToSelf(OrderStep step) {
		for (PeerMessage own = step.nextToSelf(); own != null; own = step.nextToSelf()) {
			message(step, step.view().self(), own);
		}
	}

	private static void wake(OrderStep step) {
		while (isDue(step.state().dueHeld(), step.now()) || isDue(step.state().dueShards(), step.now())
				|| isDue(step.state().issuedByExpiry(), step.now())) {
			if (isDue(step.state().dueHeld(), step.now())) {
				OrderHolder.wake(step, step.state().held().get(step.state().dueHeld().first().what()));
			}
			else if (isDue(step.state().dueShards(), step.now())) {
				ShardKeeper.advance(step, step.state().shards().get(step.state().dueShards().first().what()));
			}
			else {
				IssuedClaims.forgetFirst(step);
			}
			takeMessagesToSelf(step);
		}
	}

	private static <T extends Comparable<T>> boolean isDue(TreePSet<Due<T>> all, Instant now) {
		return !all.isEmpty() && !all.first().at().isAfter(now);
	}

}
