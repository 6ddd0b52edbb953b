package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.platform.PlatformAnswer;

/**
 * Commits the operations that this node receives for shards. Each shard has at most one
 * pending platform call; operations that arrive meanwhile share the next write.
 */
final class ShardCommitter {

	private static final int MAXIMUM_WAITING_OPERATIONS = 2000;

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(5);

	private static final int MAXIMUM_BACKOFF_DOUBLINGS = 6;

	private ShardCommitter() {
	}

	static void handleOperation(OrderStep step, ShardOperation operation) {
		if (OrderNumbers.isIssued(operation.key())) {
			IssuedClaims.handleOperation(step, operation);
			return;
		}
		int number = ShardPlacement.shardOf(operation.key(), step.policy().shards());
		Shard shard = step.state().shards().getOrDefault(number, Shard.unread(number, step.now()));
		if (shard.waitingCount() < MAXIMUM_WAITING_OPERATIONS) {
			advance(step, withWaiting(shard, operation));
		}
		else if (operation instanceof ShardOperation.Claim) {
			step.send(operation.requester(),
					ClaimRules.claimReply(operation, OrderClaimDecision.NOT_TAKEN, Optional.empty()));
		}
	}

	private static Shard withWaiting(Shard shard, ShardOperation operation) {
		if (operation instanceof ShardOperation.Claim claim) {
			return shard.withWaiting(shard.waitingClaims().plus(claim), shard.waitingSettlements());
		}
		return shard.withWaiting(shard.waitingClaims(),
				shard.waitingSettlements().plus((ShardOperation.Settle) operation));
	}

	static void advance(OrderStep step, Shard shard) {
		if (shard.call().isPresent()) {
			step.replaceState(step.state().with(shard.withWakeAt(Optional.empty())));
			return;
		}
		Instant dueAt = shard.isIdle() ? nextCleanUpAt(step, shard) : nextWriteAt(step, shard);
		if (dueAt.isBefore(shard.backoffUntil())) {
			dueAt = shard.backoffUntil();
		}
		if (dueAt.isAfter(step.now())) {
			step.replaceState(step.state().with(shard.withWakeAt(Optional.of(dueAt))));
		}
		else if (shard.isIdle()) {
			ShardPages.cleanUp(step, shard);
		}
		else if (needsRead(step, shard)) {
			ShardPages.read(step, shard, Math.max(0, shard.headPageNumber() - 1));
		}
		else {
			write(step, shard);
		}
	}

	private static Instant nextCleanUpAt(OrderStep step, Shard shard) {
		return shard.wakeAt().orElse(step.now().plus(step.policy().viewBound()));
	}

	private static Instant nextWriteAt(OrderStep step, Shard shard) {
		Duration burst = step.policy().commitInterval().multipliedBy(step.policy().commitBurst());
		Instant earliestWriteAt = shard.paceAt().minus(burst);
		if (!shard.waitingClaims().isEmpty()) {
			return earliestWriteAt;
		}
		// No caller waits for a settlement, so it is delayed to share the write of a
		// later claim.
		Instant settlementDueAt = shard.waitingSettlements().get(0).takenAt().plus(step.policy().settlementDelay());
		return settlementDueAt.isAfter(earliestWriteAt) ? settlementDueAt : earliestWriteAt;
	}

	// After a pause of hours, a node could create a page that other nodes have
	// meanwhile written, filled and, after its expiry, deleted, and grant a key a
	// second time. A read that is recent compared with the retention time prevents
	// this.
	private static boolean needsRead(OrderStep step, Shard shard) {
		return shard.stale() || shard.confirmedAt().plus(step.policy().viewBound()).isBefore(step.now());
	}

	private static void write(OrderStep step, Shard shard) {
		ShardBatch batch = ShardBatch.empty();
		PVector<ShardOperation.Claim> claims = shard.waitingClaims();
		ClaimRules rules = step.rules();
		int claimCount = 0;
		for (; claimCount < claims.size() && batch.hasRoom(); claimCount++) {
			batch = batch.with(shard, claims.get(claimCount), rules, step.policy(), step.now());
		}
		claims = claims.subList(claimCount, claims.size());
		PVector<ShardOperation.Settle> deferred = TreePVector.empty();
		boolean stale = false;
		for (ShardOperation.Settle settlement : shard.waitingSettlements()) {
			boolean needsRead = batch.needsRead(shard, settlement);
			stale |= needsRead;
			if (needsRead || !batch.hasRoom()) {
				deferred = deferred.plus(settlement);
			}
			else {
				batch = batch.with(shard, settlement, rules);
			}
		}
		Shard remaining = shard.withWaiting(claims, deferred);
		commit(step, stale ? remaining.asStale() : remaining, batch);
	}

	private static void commit(OrderStep step, Shard shard, ShardBatch batch) {
		batch.atOnce().forEach((reply) -> step.send(reply.to(), reply.message()));
		if (batch.full()) {
			step.logRateLimited(LogEvent.ORDER_SHARD_FULL,
					"shard=" + shard.number() + " claims=" + shard.claims().size());
		}
		if (batch.changes().isEmpty()) {
			advance(step, shard);
			return;
		}
		ShardPages.write(step, shard, batch);
	}

	static void handlePlatformAnswer(OrderStep step, PlatformEvent.Answered event) {
		Integer number = step.state().calls().get(event.call().number());
		if (number == null) {
			return;
		}
		step.replaceState(step.state().withoutCall(event.call().number()));
		Shard shard = step.state().shards().get(number);
		ShardCall call = shard.call().orElseThrow();
		Shard withoutCall = shard.withCall(Optional.empty());
		if (call instanceof ShardCall.WritePage write) {
			advance(step, afterWriteAnswer(step, withoutCall, write, event));
		}
		else if (call instanceof ShardCall.DeletePage delete) {
			advance(step, afterDeleteAnswer(step, withoutCall, delete, event.answer()));
		}
		else if (event.answer() instanceof PlatformAnswer.Listed listed) {
			ShardPages.handlePages(step, withoutCall, listed.objects(), event.sentAt());
		}
		else {
			advance(step, withBackoff(step, withoutCall, event.answer()));
		}
	}

	private static Shard afterWriteAnswer(OrderStep step, Shard shard, ShardCall.WritePage write,
			PlatformEvent.Answered event) {
		if (event.answer() instanceof PlatformAnswer.Written written) {
			write.batch().afterWrite().forEach((reply) -> step.send(reply.to(), reply.message()));
			return shard.withPage(write.page(), written.version(), write.batch().changes(), step.now())
				.withConfirmedAt(event.sentAt());
		}
		Shard requeued = shard.withWaiting(write.batch().claims().plusAll(shard.waitingClaims()),
				write.batch().settlements().plusAll(shard.waitingSettlements()));
		if (event.answer() instanceof PlatformAnswer.NotTaken) {
			return withBackoff(step, requeued, event.answer());
		}
		// Another node has written the page, or the result of this write is unknown.
		// Reading the page resolves both cases: a claim with its own mark was
		// granted, and one of two writes that expect the same version fails.
		Shard stale = requeued.asStale();
		return (event.answer() instanceof PlatformAnswer.Conflict) ? stale : withBackoff(step, stale, event.answer());
	}

	private static Shard afterDeleteAnswer(OrderStep step, Shard shard, ShardCall.DeletePage delete,
			PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.NotTaken || answer instanceof PlatformAnswer.NotKnown) {
			return withBackoff(step, shard, answer);
		}
		return shard.withoutPage(delete.page()).withWakeAt(Optional.of(step.now()));
	}

	private static Shard withBackoff(OrderStep step, Shard shard, PlatformAnswer answer) {
		long backoffMillis = INITIAL_BACKOFF.toMillis() << Math.min(shard.failures(), MAXIMUM_BACKOFF_DOUBLINGS);
		long boundedMillis = Math.min(backoffMillis, MAXIMUM_BACKOFF.toMillis());
		// The delay differs between nodes and shards, so that they do not all retry
		// at the same time when an outage ends.
		int jitterPercent = Math.floorMod(step.view().self().hashCode() * 31 + shard.number() * 17 + shard.failures(),
				100);
		Duration delay = Duration.ofMillis(boundedMillis / 2 + boundedMillis * jitterPercent / 200);
		if (answer instanceof PlatformAnswer.NotTaken notTaken && notTaken.retryAfter().compareTo(delay) > 0) {
			delay = notTaken.retryAfter();
		}
		return shard.withFailure(step.now().plus(delay));
	}

}
