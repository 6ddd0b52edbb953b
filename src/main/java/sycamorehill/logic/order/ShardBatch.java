package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.policy.OrderPolicy;
import sycamorehill.model.request.OrderKey;

/**
 * Collects the operations that one write commits. Replies that depend on the write are
 * sent only after it.
 *
 * @param changes the claims to write, by key
 * @param bytes the estimated size of the changes
 * @param claims the claims that the write commits
 * @param settlements the settlements that the write commits
 * @param afterWrite the replies to send after the write
 * @param atOnce the replies that depend only on what is already written
 * @param full whether a claim was rejected because the shard is full
 */
record ShardBatch(PMap<OrderKey, OrderClaim> changes, int bytes, PVector<ShardOperation.Claim> claims,
		PVector<ShardOperation.Settle> settlements, PVector<Reply> afterWrite, PVector<Reply> atOnce, boolean full) {

	/**
	 * Limits what one write adds to a page, in estimated bytes: a batch of this size
	 * accepts no further operations.
	 */
	static final int MAXIMUM_BYTES = 64 * 1024;

	private static final int CLAIM_OVERHEAD_BYTES = 300;

	private static final int BYTES_PER_CHARACTER = 3;

	static ShardBatch empty() {
		return new ShardBatch(HashTreePMap.empty(), 0, TreePVector.empty(), TreePVector.empty(), TreePVector.empty(),
				TreePVector.empty(), false);
	}

	static int estimatedBytes(OrderClaim claim) {
		return CLAIM_OVERHEAD_BYTES
				+ claim.answer().map((answer) -> answer.body().length() * BYTES_PER_CHARACTER).orElse(0);
	}

	boolean hasRoom() {
		return this.bytes < MAXIMUM_BYTES;
	}

	ShardBatch with(Shard shard, ShardOperation.Claim operation, ClaimRules rules, OrderPolicy policy, Instant now) {
		OrderClaim stored = shard.claim(operation.key());
		if (isOlderThan(operation, policy.claimPatience(), now)) {
			return withExpired(operation, stored);
		}
		ClaimRules.Decision decision = decide(shard, operation, rules);
		if (decision.change().isPresent() && shard.claims().size() + this.changes.size() >= policy.mostClaims()) {
			PeerMessage refusal = ClaimRules.claimReply(operation, OrderClaimDecision.NOT_TAKEN, Optional.empty());
			return new ShardBatch(this.changes, this.bytes, this.claims, this.settlements, this.afterWrite,
					this.atOnce.plus(new Reply(operation.requester(), refusal)), true);
		}
		if (decision.change().isEmpty() && !this.changes.containsKey(operation.key())) {
			return withImmediateReply(operation, decision);
		}
		return withCommitted(operation, decision, this.claims.plus(operation), this.settlements);
	}

	/**
	 * Returns whether a settlement must wait until the pages are read again. Another node
	 * may have committed the claim since the last read. Confirming the settlement of a
	 * claim that this node does not know would lose the answer, and the claim would be
	 * taken for an abandoned one.
	 * @param shard the shard
	 * @param operation the settlement
	 * @return whether the claim is unknown and the last read is older than the settlement
	 */
	boolean needsRead(Shard shard, ShardOperation.Settle operation) {
		OrderClaim changed = this.changes.get(operation.key());
		OrderClaim known = (changed != null) ? changed : shard.claim(operation.key());
		boolean isKnown = known != null && known.mark().equals(operation.mark());
		return !isKnown && shard.confirmedAt().isBefore(operation.takenAt());
	}

	ShardBatch with(Shard shard, ShardOperation.Settle operation, ClaimRules rules) {
		ClaimRules.Decision decision = decide(shard, operation, rules);
		if (decision.change().isEmpty() && !this.changes.containsKey(operation.key())) {
			return withImmediateReply(operation, decision);
		}
		return withCommitted(operation, decision, this.claims, this.settlements.plus(operation));
	}

	private ClaimRules.Decision decide(Shard shard, ShardOperation operation, ClaimRules rules) {
		OrderClaim changed = this.changes.get(operation.key());
		return rules.decide((changed != null) ? changed : shard.claim(operation.key()), operation);
	}

	// The requester has abandoned this claim and answered its caller "not run"
	// before the claim was written. Committing it now, for instance after a pause of
	// this node, would prevent the caller's next attempt from running. If an earlier
	// write of the claim did take effect, the requester is sent the grant and
	// releases the claim.
	private ShardBatch withExpired(ShardOperation.Claim operation, OrderClaim stored) {
		boolean written = stored != null && stored.mark().equals(operation.mark())
				&& stored.status() == OrderStatus.CLAIMED;
		return written ? withImmediateReply(operation, ClaimRules.Decision.of(Optional.empty(),
				ClaimRules.claimReply(operation, OrderClaimDecision.GRANTED, Optional.empty()))) : this;
	}

	private ShardBatch withImmediateReply(ShardOperation operation, ClaimRules.Decision decision) {
		PVector<Reply> replies = this.atOnce.plus(new Reply(operation.requester(), decision.reply()));
		if (decision.reminder().isPresent()) {
			replies = replies.plus(decision.reminder().get());
		}
		return new ShardBatch(this.changes, this.bytes, this.claims, this.settlements, this.afterWrite, replies,
				this.full);
	}

	private ShardBatch withCommitted(ShardOperation operation, ClaimRules.Decision decision,
			PVector<ShardOperation.Claim> committedClaims, PVector<ShardOperation.Settle> committedSettlements) {
		PMap<OrderKey, OrderClaim> changed = this.changes;
		int size = this.bytes;
		if (decision.change().isPresent()) {
			changed = changed.plus(operation.key(), decision.change().get());
			size += estimatedBytes(decision.change().get());
		}
		return new ShardBatch(changed, size, committedClaims, committedSettlements,
				this.afterWrite.plus(new Reply(operation.requester(), decision.reply())), this.atOnce, this.full);
	}

	private static boolean isOlderThan(ShardOperation operation, Duration limit, Instant now) {
		return operation.takenAt().plus(limit).isBefore(now);
	}

	/**
	 * Holds a reply to a node.
	 *
	 * @param to the receiving node
	 * @param message the reply
	 */
	record Reply(NodeIdentity to, PeerMessage message) {
	}

}
