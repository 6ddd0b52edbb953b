package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Work at virtual times, in their order; work of the same time in the order in which it
 * was added, so that a seed gives one history.
 */
final class VirtualTime {

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparing(Entry::at).thenComparingLong(Entry::order));

	private Instant now = Instant.EPOCH;

	private long added;

	private VirtualTime() {
	}

	static VirtualTime create() {
		return new VirtualTime();
	}

	Instant now() {
		return this.now;
	}

	void after(Duration delay, Runnable work) {
		this.entries.add(new Entry(this.now.plus(delay), this.added++, work));
	}

	void after(double seconds, Runnable work) {
		after(Duration.ofNanos((long) (seconds * 1e9)), work);
	}

	void runUntil(Instant end) {
		while (!this.entries.isEmpty() && !this.entries.peek().at().isAfter(end)) {
			Entry entry = this.entries.poll();
			this.now = entry.at();
			entry.work().run();
		}
		this.now = end;
	}

	private record Entry(Instant at, long order, Runnable work) {
	}

}
