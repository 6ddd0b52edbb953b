package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of a virtual time.
 */
final class VirtualTime {

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparing(Entry::at).thenComparingLong(Entry::order));

	private Instant now = Instant.EPOCH;

	private long added;

	Instant now() {
		return this.now;
	}

	void after(Duration delay, Runnable action) {
		this.entries.add(new Entry(this.now.plus(delay), this.added++, action));
	}

	void after(double seconds, Runnable action) {
		after(Duration.ofNanos((long) (seconds * 1e9)), action);
	}

	void runUntil(Instant end) {
		while (!this.entries.isEmpty() && this.entries.peek().at().isBefore(end)) {
			Entry entry = this.entries.poll();
			this.now = entry.at();
			entry.action().run();
		}
		this.now = end;
	}

	private record Entry(Instant at, long order, Runnable action) {

	}

}
