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
 * What an operation does to the claim of its key. A claim only goes from claimed to
 * recorded, released or unknown; a new claim replaces only a released one. So a key that
 * may have run is never granted again.
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
	 * Decides.
	 * @param existing the claim as it stands, or null
	 * @param operation the operation
	 * @return what to write and what to answer
	 */
	Decision decide(OrderClaim existing, ShardOperation operation) {
		if (operation instanceof ShardOperation.Claim claim) {
			return claim(existing, claim);
		}
		return settle(existing, (ShardOperation.Settle) operation);
	}

	private Decision claim(OrderClaim existing, ShardOperation.Claim operation) {
		boolean own = existing != null && existing.mark().equals(operation.mark());
		if (existing == null || existing.status() == OrderStatus.RELEASED) {
			// The mark was released because its caller heard "not run": to grant it now
			// would leave a claim that nobody runs and nobody settles.
			return own ? verdict(operation, OrderClaimDecision.NOT_TAKEN, Optional.empty()) : grant(operation);
		}
		if (!existing.fingerprint().equals(operation.fingerprint())) {
			return verdict(operation, OrderClaimDecision.KEY_REUSED, Optional.empty());
		}
		return switch (existing.status()) {
			case RECORDED -> verdict(operation, OrderClaimDecision.RECORDED, existing.answer());
			case UNKNOWN -> verdict(operation, OrderClaimDecision.UNKNOWN, Optional.empty());
			default ->
				own ? verdict(operation, OrderClaimDecision.GRANTED, Optional.empty()) : held(existing, operation);
		};
	}

	private Decision grant(ShardOperation.Claim operation) {
		OrderClaim claim = new OrderClaim(operation.key(), operation.fingerprint(), operation.requester().incarnation(),
				operation.mark(), OrderStatus.CLAIMED, Optional.empty(), this.wallClock);
		return Decision.of(Optional.of(claim), reply(operation, OrderClaimDecision.GRANTED, Optional.empty()));
	}

	// The holder may have sent the order just before it died, so it is never given to
	// another: that would run it twice. A live holder is reminded of its claim: if the
	// grant was lost after its caller had heard "not run", it does not know of the claim,
	// and every later call would hear "still running" for ever; now it releases it.
	private Decision held(OrderClaim existing, ShardOperation.Claim operation) {
		Optional<NodeIdentity> holder = alive(existing.holder());
		OrderClaimDecision verdict = holder.isPresent() ? OrderClaimDecision.RUNNING : OrderClaimDecision.UNKNOWN;
		Optional<ShardBatch.Reply> reminder = holder.map((node) -> new ShardBatch.Reply(node,
				new OrderClaimReply(existing.key(), existing.mark(), OrderClaimDecision.GRANTED, Optional.empty())));
		return new Decision(Optional.empty(), reply(operation, verdict, Optional.empty()), reminder);
	}

	private Optional<NodeIdentity> alive(NodeIncarnation holder) {
		if (holder.equals(this.view.self().incarnation())) {
			return Optional.of(this.view.self());
		}
		return Optional.ofNullable(this.view.liveNodes().nodes().get(holder.node()))
			.map(LiveNode::identity)
			.filter((node) -> node.incarnation().equals(holder));
	}

	private Decision settle(OrderClaim existing, ShardOperation.Settle operation) {
		PeerMessage done = new OrderSettlementReply(operation.key(), operation.mark());
		if (existing != null && existing.mark().equals(operation.mark())) {
			// Only the incarnation that holds the claim knows what came of it. A
			// grant that reaches the node after a restart looks to the new
			// incarnation like one that was given up, and its release would let the
			// order run twice.
			boolean holder = existing.holder().equals(operation.requester().incarnation());
			return (holder && existing.status() == OrderStatus.CLAIMED)
					? Decision.of(Optional.of(settled(existing, operation)), done)
					: Decision.of(Optional.empty(), done);
		}
		boolean free = existing == null || existing.status() == OrderStatus.RELEASED;
		if (free && operation.status() == OrderStatus.RELEASED) {
			// A write of the claim whose answer was lost may still take effect.
			// Writing the release decides it: one of the two writes fails on the
			// page's version.
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

	private static Decision verdict(ShardOperation operation, OrderClaimDecision verdict,
			Optional<RecordedAnswer> answer) {
		return Decision.of(Optional.empty(), reply(operation, verdict, answer));
	}

	static PeerMessage reply(ShardOperation operation, OrderClaimDecision verdict, Optional<RecordedAnswer> answer) {
		OrderKey key = operation.key();
		return new OrderClaimReply(key, operation.mark(), verdict, answer);
	}

	/**
	 * What an operation comes to.
	 *
	 * @param change the claim to write, empty if nothing changes
	 * @param reply what the requester hears, after the write if there is one
	 * @param reminder what the holder of the key's claim hears, if another call met it
	 */
	record Decision(Optional<OrderClaim> change, PeerMessage reply, Optional<ShardBatch.Reply> reminder) {

		static Decision of(Optional<OrderClaim> change, PeerMessage reply) {
			return new Decision(change, reply, Optional.empty());
		}

	}

}
