package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.request.OrderKey;

/**
 * Holds the state of the orders and order claims at this node.
 *
 * @param held the active orders, by mark
 * @param marks the mark of the latest active order for each key
 * @param dueHeld when the next message of each active order is due
 * @param shards the shards for which this node commits operations
 * @param calls the shard of each pending platform call, by the number of the call
 * @param dueShards when each shard is processed next
 * @param issued the claims of the order numbers that this node issued
 * @param issuedByExpiry when each of these claims is removed
 * @param lastCall the number of the last platform call
 * @param wallClock the last known wall clock time in milliseconds
 * @param quietUntil the end of the interval in which rate-limited log lines are dropped
 */
public record OrderState(PMap<String, ActiveOrder> held, PMap<OrderKey, String> marks,
		TreePSet<DueEntry<String>> dueHeld, PMap<Integer, Shard> shards, PMap<Long, Integer> calls,
		TreePSet<DueEntry<Integer>> dueShards, PMap<OrderKey, OrderClaim> issued,
		TreePSet<DueEntry<OrderKey>> issuedByExpiry, long lastCall, long wallClock, Instant quietUntil) {

	/**
	 * Creates the state of a node that has just started.
	 * @return the state before the first event
	 */
	public static OrderState initial() {
		return new OrderState(HashTreePMap.empty(), HashTreePMap.empty(), DueEntry.emptySet(), HashTreePMap.empty(),
				HashTreePMap.empty(), DueEntry.emptySet(), HashTreePMap.empty(), DueEntry.emptySet(), 0, 0,
				Instant.MIN);
	}

	OrderState with(ActiveOrder order) {
		TreePSet<DueEntry<String>> due = DueEntry.reschedule(this.dueHeld, order.mark(),
				dueAt(this.held.get(order.mark())), order.dueAt());
		return new OrderState(this.held.plus(order.mark(), order), this.marks.plus(order.key(), order.mark()), due,
				this.shards, this.calls, this.dueShards, this.issued, this.issuedByExpiry, this.lastCall,
				this.wallClock, this.quietUntil);
	}

	OrderState without(ActiveOrder order) {
		TreePSet<DueEntry<String>> due = DueEntry.reschedule(this.dueHeld, order.mark(),
				dueAt(this.held.get(order.mark())), Optional.empty());
		PMap<OrderKey, String> remainingMarks = order.mark().equals(this.marks.get(order.key()))
				? this.marks.minus(order.key()) : this.marks;
		return new OrderState(this.held.minus(order.mark()), remainingMarks, due, this.shards, this.calls,
				this.dueShards, this.issued, this.issuedByExpiry, this.lastCall, this.wallClock, this.quietUntil);
	}

	OrderState with(Shard shard) {
		Shard before = this.shards.get(shard.number());
		TreePSet<DueEntry<Integer>> due = DueEntry.reschedule(this.dueShards, shard.number(),
				(before != null) ? before.wakeAt() : Optional.empty(), shard.wakeAt());
		return new OrderState(this.held, this.marks, this.dueHeld, this.shards.plus(shard.number(), shard), this.calls,
				due, this.issued, this.issuedByExpiry, this.lastCall, this.wallClock, this.quietUntil);
	}

	OrderState withoutShard(Shard shard) {
		TreePSet<DueEntry<Integer>> due = DueEntry.reschedule(this.dueShards, shard.number(), shard.wakeAt(),
				Optional.empty());
		return new OrderState(this.held, this.marks, this.dueHeld, this.shards.minus(shard.number()), this.calls, due,
				this.issued, this.issuedByExpiry, this.lastCall, this.wallClock, this.quietUntil);
	}

	OrderState withCall(int shard) {
		long call = this.lastCall + 1;
		return new OrderState(this.held, this.marks, this.dueHeld, this.shards, this.calls.plus(call, shard),
				this.dueShards, this.issued, this.issuedByExpiry, call, this.wallClock, this.quietUntil);
	}

	OrderState withoutCall(long call) {
		return new OrderState(this.held, this.marks, this.dueHeld, this.shards, this.calls.minus(call), this.dueShards,
				this.issued, this.issuedByExpiry, this.lastCall, this.wallClock, this.quietUntil);
	}

	OrderState withIssued(PMap<OrderKey, OrderClaim> claims, TreePSet<DueEntry<OrderKey>> byExpiry) {
		return new OrderState(this.held, this.marks, this.dueHeld, this.shards, this.calls, this.dueShards, claims,
				byExpiry, this.lastCall, this.wallClock, this.quietUntil);
	}

	OrderState withWallClock(long value) {
		return new OrderState(this.held, this.marks, this.dueHeld, this.shards, this.calls, this.dueShards, this.issued,
				this.issuedByExpiry, this.lastCall, value, this.quietUntil);
	}

	OrderState withQuietUntil(Instant value) {
		return new OrderState(this.held, this.marks, this.dueHeld, this.shards, this.calls, this.dueShards, this.issued,
				this.issuedByExpiry, this.lastCall, this.wallClock, value);
	}

	private static Optional<Instant> dueAt(ActiveOrder order) {
		return (order != null) ? order.dueAt() : Optional.empty();
	}

}
