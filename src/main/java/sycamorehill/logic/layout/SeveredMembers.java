package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.TargetEntry;

/**
 * Remembers engines that left a group whose head may still be serving.
 *
 * A head that lost a member stands still and breaks after the stall time. If its former
 * member joined another group before that, the two groups would share a VM. The engine
 * itself reports no group any more, so a node that becomes controller in between would
 * take it for free: every node therefore watches for members that leave, and a process
 * that has just started holds each engine with a model but without a group.
 */
final class SeveredMembers {

	/**
	 * Added to the stall time: the order to leave is answered before the head notices,
	 * and its timers fire late.
	 */
	static final Duration BREAK_MARGIN = Duration.ofMillis(500);

	private final Duration holdTime;

	private final Map<TargetName, Seat> seats = new HashMap<>();

	private final Map<TargetName, Severed> severed = new HashMap<>();

	private boolean history;

	private long lookedAt = -1;

	private SeveredMembers(Duration stallTime, boolean history) {
		this.holdTime = stallTime.plus(BREAK_MARGIN);
		this.history = history;
	}

	/**
	 * Creates the memory.
	 * @param stallTime time after which a head that lost a member is broken
	 * @param history whether all that ever happened was seen, as at the first start of
	 * the whole system
	 * @return the memory
	 */
	static SeveredMembers of(Duration stallTime, boolean history) {
		return new SeveredMembers(stallTime, history);
	}

	/**
	 * Compares what engines report with what they reported before.
	 * @param entries all targets
	 * @param change number of the directory's last change
	 * @param now the present time
	 */
	void look(Collection<TargetEntry> entries, long change, Instant now) {
		if (change == this.lookedAt) {
			return;
		}
		this.lookedAt = change;
		for (TargetEntry entry : entries) {
			Seat before = this.seats.get(entry.name());
			int rank = entry.membership().map(Membership::rank).orElse(-1);
			if (before == null || before.bornMillis() != entry.bornMillis() || before.rank() != rank) {
				if (leftItsHead(entry, before)) {
					this.severed.put(entry.name(), new Severed(entry.bornMillis(), now));
				}
				this.seats.put(entry.name(), new Seat(entry.bornMillis(), rank));
			}
		}
		if (this.seats.size() > entries.size()) {
			this.seats.keySet().retainAll(entries.stream().map(TargetEntry::name).collect(Collectors.toSet()));
		}
		this.severed.values().removeIf((each) -> ended(each, now));
		this.history |= !entries.isEmpty();
	}

	private boolean leftItsHead(TargetEntry entry, Seat before) {
		if (entry.membership().isPresent()) {
			return false;
		}
		if (before == null) {
			return !this.history && entry.loaded().isPresent();
		}
		return before.bornMillis() == entry.bornMillis() && before.rank() > 0;
	}

	private boolean ended(Severed each, Instant now) {
		return now.isAfter(each.since().plus(this.holdTime));
	}

	/**
	 * Whether an engine may not join another group yet.
	 * @param engine the engine
	 * @param now the present time
	 * @return true while the head that it left may not have broken
	 */
	boolean holds(TargetEntry engine, Instant now) {
		Severed each = this.severed.get(engine.name());
		return each != null && each.bornMillis() == engine.bornMillis() && !ended(each, now);
	}

	/**
	 * What an engine reported last.
	 *
	 * @param bornMillis its life
	 * @param rank its rank, negative without a group
	 */
	private record Seat(long bornMillis, int rank) {
	}

	/**
	 * An engine that left its head.
	 *
	 * @param bornMillis its life
	 * @param since when that was seen
	 */
	private record Severed(long bornMillis, Instant since) {
	}

}
