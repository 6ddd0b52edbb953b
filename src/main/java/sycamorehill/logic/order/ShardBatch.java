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
 * The operations that one write commits. An answer that rests on the write is sent only
 * after it.
 *
 * @param changes the claims to write
 * @param bytes estimated size of the changes
 * @param claims the claims that it commits
 * @param settlements the settlements that it commits
 * @param afterWrite answers to send once it is written
 * @param atOnce answers that rest on what is already written
 * @param full whether a claim was turned away because the shard is full
 */
record ShardBatch(PMap<OrderKey, OrderClaim> changes, int bytes, PVector<ShardOperation.Claim> claims,
		PVector<ShardOperation.Settle> settlements, PVector<Reply> afterWrite, PVector<Reply> atOnce, boolean full) {

	/** The most that one write adds to a page, as estimated. */
	static final int MOST_BYTES = 64 * 1024;

	private static final int CLAIM_BYTES = 300;

	private static final int BYTES_PER_CHARACTER = 3;

	static ShardBatch empty() {
		return new ShardBatch(HashTreePMap.empty(), 0, TreePVector.empty(), TreePVector.empty(), TreePVector.empty(),
				TreePVector.empty(), false);
	}

	static int bytes(OrderClaim claim) {
		return CLAIM_BYTES + claim.answer().map((answer) -> answer.body().length() * BYTES_PER_CHARACTER).orElse(0);
	}

	boolean hasRoom() {
		return this.bytes < MOST_BYTES;
	}

	ShardBatch with(Shard shard, ShardOperation.Claim operation, ClaimRules rules, OrderPolicy policy, Instant now) {
		OrderClaim kept = shard.claim(operation.key());
		if (olderThan(operation, policy.claimPatience(), now)) {
			return expired(operation, kept);
		}
		ClaimRules.Decision decision = decide(shard, operation, rules);
		if (decision.change().isPresent() && shard.claims().size() + this.changes.size() >= policy.mostClaims()) {
			PeerMessage refusal = ClaimRules.reply(operation, OrderClaimDecision.NOT_TAKEN, Optional.empty());
			return new ShardBatch(this.changes, this.bytes, this.claims, this.settlements, this.afterWrite,
					this.atOnce.plus(new Reply(operation.requester(), refusal)), true);
		}
		if (decision.change().isEmpty() && !this.changes.containsKey(operation.key())) {
			return answeredAtOnce(operation, decision);
		}
		return changed(operation, decision, this.claims.plus(operation), this.settlements);
	}

	/**
	 * Whether a settlement must wait for a new look at the pages. The claim may have been
	 * committed by another node since the last look: to say "written down" for a claim
	 * that is not seen would lose the answer, and the claim would look given up.
	 * @param shard the shard
	 * @param operation the settlement
	 * @return whether the view is older than the settlement and lacks its claim
	 */
	boolean needsLook(Shard shard, ShardOperation.Settle operation) {
		OrderClaim changed = this.changes.get(operation.key());
		OrderClaim known = (changed != null) ? changed : shard.claim(operation.key());
		boolean seen = known != null && known.mark().equals(operation.mark());
		return !seen && shard.confirmedAt().isBefore(operation.takenAt());
	}

	ShardBatch with(Shard shard, ShardOperation.Settle operation, ClaimRules rules) {
		ClaimRules.Decision decision = decide(shard, operation, rules);
		if (decision.change().isEmpty() && !this.changes.containsKey(operation.key())) {
			return answeredAtOnce(operation, decision);
		}
		return changed(operation, decision, this.claims, this.settlements.plus(operation));
	}

	private ClaimRules.Decision decide(Shard shard, ShardOperation operation, ClaimRules rules) {
		OrderClaim changed = this.changes.get(operation.key());
		return rules.decide((changed != null) ? changed : shard.claim(operation.key()), operation);
	}

	// The requester gave up and told its caller "not run" before this was written; to
	// claim the key now, for instance after a pause of this node, would keep the caller's
	// next try from running. If an earlier write of it took effect after all, the
	// requester is told, and releases it.
	private ShardBatch expired(ShardOperation.Claim operation, OrderClaim kept) {
		boolean written = kept != null && kept.mark().equals(operation.mark()) && kept.status() == OrderStatus.CLAIMED;
		return written ? answeredAtOnce(operation, ClaimRules.Decision.of(Optional.empty(),
				ClaimRules.reply(operation, OrderClaimDecision.GRANTED, Optional.empty()))) : this;
	}

	private ShardBatch answeredAtOnce(ShardOperation operation, ClaimRules.Decision decision) {
		PVector<Reply> replies = this.atOnce.plus(new Reply(operation.requester(), decision.reply()));
		if (decision.reminder().isPresent()) {
			replies = replies.plus(decision.reminder().get());
		}
		return new ShardBatch(this.changes, this.bytes, this.claims, this.settlements, this.afterWrite, replies,
				this.full);
	}

	private ShardBatch changed(ShardOperation operation, ClaimRules.Decision decision,
			PVector<ShardOperation.Claim> committedClaims, PVector<ShardOperation.Settle> committedSettlements) {
		PMap<OrderKey, OrderClaim> changed = this.changes;
		int size = this.bytes;
		if (decision.change().isPresent()) {
			changed = changed.plus(operation.key(), decision.change().get());
			size += bytes(decision.change().get());
		}
		return new ShardBatch(changed, size, committedClaims, committedSettlements,
				this.afterWrite.plus(new Reply(operation.requester(), decision.reply())), this.atOnce, this.full);
	}

	private static boolean olderThan(ShardOperation operation, Duration bound, Instant now) {
		return operation.takenAt().plus(bound).isBefore(now);
	}

	/**
	 * An answer to a node.
	 *
	 * @param to the node
	 * @param message the answer
	 */
	record Reply(NodeIdentity to, PeerMessage message) {
	}

}
