package sycamorehill.logic.order;

import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.peer.OrderClaimReply;
import sycamorehill.model.peer.OrderSettlementReply;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;

/**
 * Decides how an operation changes the claim of its key. A claim changes only from
 * claimed to recorded, released or unknown, and only a released claim is replaced by a
 * new one. A key whose order may have run is therefore never granted again.
 */
final class ClaimRules {

	private final NodeView view;

	private final long wallClock;

	private ClaimRules(NodeView view, long wallClock) {
		this.view = view;
		this.wallClock = wallClock;
	}

	static ClaimRules of(NodeView view, long wallClock) {
		return new ClaimRules(view, wallClock);
	}

	/**
	 * Decides the result of an operation.
	 * @param existing the current claim of the key, or null if there is none
	 * @param operation the operation
	 * @return the claim to write and the messages to send
	 */
	Decision decide(OrderClaim existing, ShardOperation operation) {
		if (operation instanceof ShardOperation.Claim claim) {
			return decideClaim(existing, claim);
		}
		return decideSettlement(existing, (ShardOperation.Settle) operation);
	}

	private Decision decideClaim(OrderClaim existing, ShardOperation.Claim operation) {
		boolean own = existing != null && existing.mark().equals(operation.mark());
		if (existing == null || existing.status() == OrderStatus.RELEASED) {
			// A mark is released after its caller received "not run". Granting it
			// now would create a claim that no node runs or settles.
			return own ? replyOnly(operation, OrderClaimDecision.NOT_TAKEN, Optional.empty()) : grant(operation);
		}
		if (!existing.fingerprint().equals(operation.fingerprint())) {
			return replyOnly(operation, OrderClaimDecision.KEY_REUSED, Optional.empty());
		}
		return switch (existing.status()) {
			case RECORDED -> replyOnly(operation, OrderClaimDecision.RECORDED, existing.answer());
			case UNKNOWN -> replyOnly(operation, OrderClaimDecision.UNKNOWN, Optional.empty());
			default -> own ? replyOnly(operation, OrderClaimDecision.GRANTED, Optional.empty())
					: decideHeld(existing, operation);
		};
	}

	private Decision grant(ShardOperation.Claim operation) {
		OrderClaim claim = new OrderClaim(operation.key(), operation.fingerprint(), operation.requester().incarnation(),
				operation.mark(), OrderStatus.CLAIMED, Optional.empty(), this.wallClock);
		return Decision.of(Optional.of(claim), claimReply(operation, OrderClaimDecision.GRANTED, Optional.empty()));
	}

	// The holder may have sent the order just before it crashed. The claim is
	// therefore never granted to another call, or the order could run twice. A live
	// holder is sent its grant again: if the first grant was lost after the caller
	// received "not run", the holder does not know of the claim, and every later
	// call would be answered "still running" forever. The repeated grant makes such
	// a holder release the claim.
	private Decision decideHeld(OrderClaim existing, ShardOperation.Claim operation) {
		Optional<NodeIdentity> holder = liveNode(existing.holder());
		OrderClaimDecision claimDecision = holder.isPresent() ? OrderClaimDecision.RUNNING : OrderClaimDecision.UNKNOWN;
		Optional<ShardBatch.Reply> reminder = holder.map((node) -> new ShardBatch.Reply(node,
				new OrderClaimReply(existing.key(), existing.mark(), OrderClaimDecision.GRANTED, Optional.empty())));
		return new Decision(Optional.empty(), claimReply(operation, claimDecision, Optional.empty()), reminder);
	}

	private Optional<NodeIdentity> liveNode(NodeIncarnation holder) {
		if (holder.equals(this.view.self().incarnation())) {
			return Optional.of(this.view.self());
		}
		return Optional.ofNullable(this.view.liveNodes().nodes().get(holder.node()))
			.map(LiveNode::identity)
			.filter((node) -> node.incarnation().equals(holder));
	}

	private Decision decideSettlement(OrderClaim existing, ShardOperation.Settle operation) {
		PeerMessage done = new OrderSettlementReply(operation.key(), operation.mark());
		if (existing != null && existing.mark().equals(operation.mark())) {
			// Only the incarnation that holds the claim knows the outcome. After a
			// restart, the new incarnation takes a late grant for the grant of an
			// abandoned request and releases it. Accepting that release would let
			// the order run twice.
			boolean holder = existing.holder().equals(operation.requester().incarnation());
			return (holder && existing.status() == OrderStatus.CLAIMED)
					? Decision.of(Optional.of(settled(existing, operation)), done)
					: Decision.of(Optional.empty(), done);
		}
		boolean free = existing == null || existing.status() == OrderStatus.RELEASED;
		if (free && operation.status() == OrderStatus.RELEASED) {
			// A write of the claim whose answer was lost may still take effect.
			// Writing the release resolves the race: one of the two writes fails
			// because of the page version.
			return Decision.of(Optional.of(released(operation)), done);
		}
		return Decision.of(Optional.empty(), done);
	}

	private static OrderClaim settled(OrderClaim claim, ShardOperation.Settle operation) {
		return new OrderClaim(claim.key(), claim.fingerprint(), claim.holder(), claim.mark(), operation.status(),
				operation.answer(), claim.claimedAt());
	}

	private OrderClaim released(ShardOperation.Settle operation) {
		return new OrderClaim(operation.key(), new Fingerprint(""), operation.requester().incarnation(),
				operation.mark(), OrderStatus.RELEASED, Optional.empty(), this.wallClock);
	}

	private static Decision replyOnly(ShardOperation operation, OrderClaimDecision claimDecision,
			Optional<RecordedAnswer> answer) {
		return Decision.of(Optional.empty(), claimReply(operation, claimDecision, answer));
	}

	static PeerMessage claimReply(ShardOperation operation, OrderClaimDecision claimDecision,
			Optional<RecordedAnswer> answer) {
		OrderKey key = operation.key();
		return new OrderClaimReply(key, operation.mark(), claimDecision, answer);
	}

	/**
	 * Holds the result of an operation.
	 *
	 * @param change the claim to write, empty if nothing changes
	 * @param reply the reply to the requester, sent after the write if there is one
	 * @param reminder the grant to send again to the claim's holder, if another call
	 * found the key claimed
	 */
	record Decision(Optional<OrderClaim> change, PeerMessage reply, Optional<ShardBatch.Reply> reminder) {

		static Decision of(Optional<OrderClaim> change, PeerMessage reply) {
			return new Decision(change, reply, Optional.empty());
		}

	}

}
