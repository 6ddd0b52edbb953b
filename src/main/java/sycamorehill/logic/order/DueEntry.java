package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

import org.pcollections.TreePSet;

/**
 * Schedules an item for processing. Entries are ordered by time.
 *
 * @param <T> the type of the item's key
 * @param at the due time on this node's monotonic clock
 * @param what the item's key
 */
record DueEntry<T extends Comparable<T>>(Instant at, T what) implements Comparable<DueEntry<T>> {

	static <T extends Comparable<T>> TreePSet<DueEntry<T>> emptySet() {
		return TreePSet.empty(Comparator.naturalOrder());
	}

	static <T extends Comparable<T>> TreePSet<DueEntry<T>> reschedule(TreePSet<DueEntry<T>> all, T what,
			Optional<Instant> before, Optional<Instant> after) {
		if (before.equals(after)) {
			return all;
		}
		TreePSet<DueEntry<T>> remaining = before.isPresent() ? all.minus(new DueEntry<>(before.get(), what)) : all;
		return after.isPresent() ? remaining.plus(new DueEntry<>(after.get(), what)) : remaining;
	}

	@Override
	public int compareTo(DueEntry<T> other) {
		int byTime = this.at.compareTo(other.at);
		return (byTime != 0) ? byTime : this.what.compareTo(other.what);
	}

}
