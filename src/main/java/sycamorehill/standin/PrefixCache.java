package sycamorehill.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * An engine's limited cache of prompt prefixes and its late, gappy events. Not
 * thread-safe.
 */
final class PrefixCache {

	private static final double LOST_EVENTS = 0.05;

	private static final Duration LATENESS = Duration.ofMillis(500);

	private static final int KEPT_EVENTS = 2_000;

	private final LinkedHashSet<Long> prefixes = new LinkedHashSet<>();

	private final Deque<Timed> events = new ArrayDeque<>();

	private final int capacity;

	private final RandomGenerator random;

	private long sequence;

	private PrefixCache(int capacity, RandomGenerator random) {
		this.capacity = capacity;
		this.random = random;
	}

	static PrefixCache create(int capacity, RandomGenerator random) {
		return new PrefixCache(capacity, random);
	}

	/**
	 * Looks a prompt up and stores it.
	 * @param hashes the prompt's prefixes, shortest first
	 * @param nowNanos monotonic time
	 * @return how many of its prefixes were cached
	 */
	int use(List<Long> hashes, long nowNanos) {
		int hits = 0;
		while (hits < hashes.size() && this.prefixes.contains(hashes.get(hits))) {
			hits++;
		}
		for (Long hash : hashes) {
			if (!this.prefixes.remove(hash)) {
				publish("STORED", hash, nowNanos);
			}
			this.prefixes.add(hash);
		}
		evict(nowNanos);
		return hits;
	}

	void clear() {
		this.prefixes.clear();
		this.events.clear();
	}

	int free() {
		return this.capacity - this.prefixes.size();
	}

	List<CacheEvent> after(long afterSequence, long nowNanos) {
		List<CacheEvent> found = new ArrayList<>();
		for (Timed event : this.events) {
			if (event.event().sequence() > afterSequence && nowNanos - event.at() >= LATENESS.toNanos()) {
				found.add(event.event());
			}
		}
		return found;
	}

	private void evict(long nowNanos) {
		Iterator<Long> oldest = this.prefixes.iterator();
		while (this.prefixes.size() > this.capacity) {
			publish("EVICTED", oldest.next(), nowNanos);
			oldest.remove();
		}
	}

	private void publish(String kind, long hash, long nowNanos) {
		this.sequence++;
		if (this.random.nextDouble() < LOST_EVENTS) {
			return;
		}
		this.events.add(new Timed(nowNanos, new CacheEvent(this.sequence, kind, hash)));
		if (this.events.size() > KEPT_EVENTS) {
			this.events.poll();
		}
	}

	private record Timed(long at, CacheEvent event) {

	}

	/**
	 * One event as it goes over the wire.
	 *
	 * @param sequence counts up, with gaps where events were lost
	 * @param kind STORED or EVICTED
	 * @param prefixHash the prefix
	 */
	record CacheEvent(long sequence, String kind, long prefixHash) {

	}

}
