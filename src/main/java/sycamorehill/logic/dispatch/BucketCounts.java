package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/**
 * Counts events by the time at which they occur, in buckets of equal length. Old buckets
 * are dropped.
 */
final class BucketCounts {

	private final long bucketMillis;

	private final int[] counts;

	private long newest = Long.MIN_VALUE;

	private BucketCounts(Duration bucketLength, int buckets) {
		this.bucketMillis = Math.max(1, bucketLength.toMillis());
		this.counts = new int[buckets];
	}

	/**
	 * Creates counts without any event.
	 * @param bucketLength length of a bucket
	 * @param buckets number of buckets that are kept
	 * @return the counts
	 */
	static BucketCounts of(Duration bucketLength, int buckets) {
		return new BucketCounts(bucketLength, buckets);
	}

	/**
	 * Returns the number of a bucket; later buckets have higher numbers.
	 * @param time a time in the bucket
	 * @return its number
	 */
	long bucket(Instant time) {
		return Math.floorDiv(time.toEpochMilli(), this.bucketMillis);
	}

	/**
	 * Counts an event.
	 * @param now the current time, which never decreases
	 */
	void increment(Instant now) {
		long bucket = bucket(now);
		if (this.newest == Long.MIN_VALUE || bucket - this.newest >= this.counts.length) {
			Arrays.fill(this.counts, 0);
		}
		else {
			for (long skipped = this.newest + 1; skipped <= bucket; skipped++) {
				this.counts[index(skipped)] = 0;
			}
		}
		this.newest = bucket;
		this.counts[index(bucket)]++;
	}

	int get(long bucket) {
		boolean kept = bucket <= this.newest && bucket > this.newest - this.counts.length;
		return kept ? this.counts[index(bucket)] : 0;
	}

	/**
	 * Adds up buckets.
	 * @param first the first bucket
	 * @param end the bucket after the last
	 * @return the number of events in them
	 */
	int sum(long first, long end) {
		int sum = 0;
		for (long bucket = first; bucket < end; bucket++) {
			sum += get(bucket);
		}
		return sum;
	}

	private int index(long bucket) {
		return Math.floorMod(bucket, this.counts.length);
	}

}
