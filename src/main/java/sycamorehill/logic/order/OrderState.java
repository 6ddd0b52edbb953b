package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.request.OrderKey;

/**
 * State of the part: at-most-once orders by claims.
 *
 * @param held the claims of this node, by mark
 * @param marks the mark of the last call with a key
 * @param dueHeld when each held claim's message is sent again
 * @param shards the shards that this node commits
 * @param calls the shard of each platform call under way
 * @param dueShards when each shard has something to do
 * @param issued claims of the order numbers that this node issued
 * @param issuedByExpiry the same by the time at which they are forgotten
 * @param lastCall number of the last platform call
 * @param wallClock the last wall clock in milliseconds
 * @param quietUntil no further warning before this time
 */
public record OrderState(PMap<String, ActiveOrder> held, PMap<OrderKey, String> marks,
		TreePSet<DueEntry<String>> dueHeld, PMap<Integer, Shard> shards, PMap<Long, Integer> calls,
		TreePSet<DueEntry<Integer>> dueShards, PMap<OrderKey, OrderClaim> issued,
		TreePSet<DueEntry<OrderKey>> issuedByExpiry, long lastCall, long wallClock, Instant quietUntil) {

	/**
	 * The state of a fresh node.
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
