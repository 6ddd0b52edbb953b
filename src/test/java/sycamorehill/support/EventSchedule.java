package sycamorehill.support;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Things that will happen at a virtual time, in the order of that time. Two that fall on
 * the same time happen in the order in which they were added, so that a seed gives one
 * history.
 *
 * @param <T> the type of what happens
 */
public final class EventSchedule<T> {

	private final PriorityQueue<Entry<T>> entries = new PriorityQueue<>(
			Comparator.comparing((Entry<T> entry) -> entry.at).thenComparingLong((entry) -> entry.order));

	private Instant now = Instant.EPOCH;

	private long added;

	private EventSchedule() {
	}

	/**
	 * Creates an empty schedule at the epoch.
	 * @param <T> the type of what happens
	 * @return the schedule
	 */
	public static <T> EventSchedule<T> create() {
		return new EventSchedule<>();
	}

	/**
	 * The virtual time.
	 * @return the time of the last thing taken
	 */
	public Instant now() {
		return this.now;
	}

	/**
	 * Adds something.
	 * @param delay how long after now it happens
	 * @param thing what happens
	 */
	public void add(Duration delay, T thing) {
		this.entries.add(new Entry<>(this.now.plus(delay), this.added++, thing));
	}

	/**
	 * Takes the next thing and moves the time to it.
	 * @return the thing, empty when nothing is left
	 */
	public Optional<T> next() {
		Entry<T> entry = this.entries.poll();
		if (entry == null) {
			return Optional.empty();
		}
		this.now = entry.at;
		return Optional.of(entry.thing);
	}

	private record Entry<T>(Instant at, long order, T thing) {

	}

}
