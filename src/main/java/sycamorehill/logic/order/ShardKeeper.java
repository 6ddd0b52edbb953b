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
 * Commits the operations of the shards that this node keeps. Each shard has at most one
 * platform call under way; what arrives meanwhile shares the next write.
 */
final class ShardKeeper {

	private static final int MOST_WAITING = 2000;

	private static final Duration SHORTEST_BACKOFF = Duration.ofMillis(100);

	private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(5);

	private static final int MOST_DOUBLINGS = 6;

	private ShardKeeper() {
	}

	static void take(OrderStep step, ShardOperation operation) {
		if (OrderNumbers.isIssued(operation.key())) {
			IssuedClaims.take(step, operation);
			return;
		}
		int number = ShardPlacement.shardOf(operation.key(), step.policy().shards());
		Shard shard = step.state().shards().getOrDefault(number, Shard.unread(number, step.now()));
		if (shard.waiting() < MOST_WAITING) {
			advance(step, withWaiting(shard, operation));
		}
		else if (operation instanceof ShardOperation.Claim) {
			step.send(operation.requester(),
					ClaimRules.reply(operation, OrderClaimDecision.NOT_TAKEN, Optional.empty()));
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
			step.replace(step.state().with(shard.withWakeAt(Optional.empty())));
			return;
		}
		Instant due = shard.idle() ? idleDue(step, shard) : writeDue(step, shard);
		if (due.isBefore(shard.backoffUntil())) {
			due = shard.backoffUntil();
		}
		if (due.isAfter(step.now())) {
			step.replace(step.state().with(shard.withWakeAt(Optional.of(due))));
		}
		else if (shard.idle()) {
			ShardPages.tidy(step, shard);
		}
		else if (needsRead(step, shard)) {
			ShardPages.read(step, shard, Math.max(0, shard.headPage() - 1));
		}
		else {
			write(step, shard);
		}
	}

	private static Instant idleDue(OrderStep step, Shard shard) {
		return shard.wakeAt().orElse(step.now().plus(step.policy().viewBound()));
	}

	private static Instant writeDue(OrderStep step, Shard shard) {
		Duration burst = step.policy().commitInterval().multipliedBy(step.policy().commitBurst());
		Instant pace = shard.paceAt().minus(burst);
		if (!shard.waitingClaims().isEmpty()) {
			return pace;
		}
		// Nobody waits for a settlement, so it shares the write of a later claim.
		Instant patience = shard.waitingSettlements().get(0).takenAt().plus(step.policy().settlementDelay());
		return patience.isAfter(pace) ? patience : pace;
	}

	// A node that was paused for hours could create a page that has since been written,
	// filled, expired and deleted, and grant a key again. A look that is recent compared
	// with the retention rules that out.
	private static boolean needsRead(OrderStep step, Shard shard) {
		return shard.stale() || shard.confirmedAt().plus(step.policy().viewBound()).isBefore(step.now());
	}

	private static void write(OrderStep step, Shard shard) {
		ShardBatch batch = ShardBatch.empty();
		PVector<ShardOperation.Claim> claims = shard.waitingClaims();
		ClaimRules rules = step.rules();
		int taken = 0;
		for (; taken < claims.size() && batch.hasRoom(); taken++) {
			batch = batch.with(shard, claims.get(taken), rules, step.policy(), step.now());
		}
		claims = claims.subList(taken, claims.size());
		PVector<ShardOperation.Settle> left = TreePVector.empty();
		boolean stale = false;
		for (ShardOperation.Settle settlement : shard.waitingSettlements()) {
			boolean look = batch.needsLook(shard, settlement);
			stale |= look;
			if (look || !batch.hasRoom()) {
				left = left.plus(settlement);
			}
			else {
				batch = batch.with(shard, settlement, rules);
			}
		}
		Shard rest = shard.withWaiting(claims, left);
		commit(step, stale ? rest.withStale() : rest, batch);
	}

	private static void commit(OrderStep step, Shard shard, ShardBatch batch) {
		batch.atOnce().forEach((reply) -> step.send(reply.to(), reply.message()));
		if (batch.full()) {
			step.logSometimes(LogEvent.ORDER_SHARD_FULL,
					"shard=" + shard.number() + " claims=" + shard.claims().size());
		}
		if (batch.changes().isEmpty()) {
			advance(step, shard);
			return;
		}
		ShardPages.write(step, shard, batch);
	}

	static void answered(OrderStep step, PlatformEvent.Answered event) {
		Integer number = step.state().calls().get(event.call().number());
		if (number == null) {
			return;
		}
		step.replace(step.state().withoutCall(event.call().number()));
		Shard shard = step.state().shards().get(number);
		ShardCall call = shard.call().orElseThrow();
		Shard free = shard.withCall(Optional.empty());
		if (call instanceof ShardCall.WritePage write) {
			advance(step, written(step, free, write, event));
		}
		else if (call instanceof ShardCall.DeletePage delete) {
			advance(step, deleted(step, free, delete, event.answer()));
		}
		else if (event.answer() instanceof PlatformAnswer.Listed listed) {
			ShardPages.pagesRead(step, free, listed.objects(), event.sentAt());
		}
		else {
			advance(step, failed(step, free, event.answer()));
		}
	}

	private static Shard written(OrderStep step, Shard shard, ShardCall.WritePage write, PlatformEvent.Answered event) {
		if (event.answer() instanceof PlatformAnswer.Written written) {
			write.batch().afterWrite().forEach((reply) -> step.send(reply.to(), reply.message()));
			return shard.withPage(write.page(), written.version(), write.batch().changes(), step.now())
				.confirmed(event.sentAt());
		}
		Shard again = shard.withWaiting(write.batch().claims().plusAll(shard.waitingClaims()),
				write.batch().settlements().plusAll(shard.waitingSettlements()));
		if (event.answer() instanceof PlatformAnswer.NotTaken) {
			return failed(step, again, event.answer());
		}
		// Another node wrote, or it is open whether this write took effect. The page
		// tells: a claim with its own mark was granted, and one of two writes with
		// the same expected version fails.
		Shard stale = again.withStale();
		return (event.answer() instanceof PlatformAnswer.Conflict) ? stale : failed(step, stale, event.answer());
	}

	private static Shard deleted(OrderStep step, Shard shard, ShardCall.DeletePage delete, PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.NotTaken || answer instanceof PlatformAnswer.NotKnown) {
			return failed(step, shard, answer);
		}
		return shard.withoutPage(delete.page()).withWakeAt(Optional.of(step.now()));
	}

	private static Shard failed(OrderStep step, Shard shard, PlatformAnswer answer) {
		long longest = SHORTEST_BACKOFF.toMillis() << Math.min(shard.failures(), MOST_DOUBLINGS);
		long bounded = Math.min(longest, LONGEST_BACKOFF.toMillis());
		// Nodes and shards spread out, so that they do not come back together when an
		// outage ends.
		int spread = Math.floorMod(step.view().self().hashCode() * 31 + shard.number() * 17 + shard.failures(), 100);
		Duration wait = Duration.ofMillis(bounded / 2 + bounded * spread / 200);
		if (answer instanceof PlatformAnswer.NotTaken notTaken && notTaken.retryAfter().compareTo(wait) > 0) {
			wait = notTaken.retryAfter();
		}
		return shard.failed(step.now().plus(wait));
	}

}
