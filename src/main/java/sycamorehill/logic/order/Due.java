package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

import org.pcollections.TreePSet;

/**
 * Something to be looked at again.
 *
 * @param <T> what names it
 * @param at own monotonic time
 * @param what names it
 */
record Due<T extends Comparable<T>>(Instant at, T what) implements Comparable<Due<T>> {

	static <T extends Comparable<T>> TreePSet<Due<T>> none() {
		return TreePSet.empty(Comparator.naturalOrder());
	}

	static <T extends Comparable<T>> TreePSet<Due<T>> move(TreePSet<Due<T>> all, T what, Optional<Instant> before,
			Optional<Instant> after) {
		if (before.equals(after)) {
			return all;
		}
		TreePSet<Due<T>> left = before.isPresent() ? all.minus(new Due<>(before.get(), what)) : all;
		return after.isPresent() ? left.plus(new Due<>(after.get(), what)) : left;
	}

	@Override
	public int compareTo(Due<T> other) {
		int byTime = this.at.compareTo(other.at);
		return (byTime != 0) ? byTime : this.what.compareTo(other.what);
	}

}
