package sycamorehill.logic;

import java.time.Duration;

/**
 * An immutable position in a sequence of pseudo-random numbers (SplitMix64). The same
 * seed yields the same numbers.
 *
 * @param position the state of the generator
 */
public record RandomSequence(long position) {

	private static final long INCREMENT = 0x9E3779B97F4A7C15L;

	private static final long FIRST_FACTOR = 0xBF58476D1CE4E5B9L;

	private static final long SECOND_FACTOR = 0x94D049BB133111EBL;

	private static final double FRACTION_UNIT = 0x1.0p-53;

	/**
	 * Creates the sequence for a seed.
	 * @param seed the seed
	 * @return the sequence
	 */
	public static RandomSequence of(long seed) {
		return new RandomSequence(seed);
	}

	/**
	 * Advances to the next number.
	 * @return the sequence positioned at the next number
	 */
	public RandomSequence next() {
		return new RandomSequence(this.position + INCREMENT);
	}

	/**
	 * Returns the current number as a fraction.
	 * @return a number from 0 (inclusive) to 1 (exclusive)
	 */
	public double fraction() {
		long mixed = this.position + INCREMENT;
		mixed = (mixed ^ (mixed >>> 30)) * FIRST_FACTOR;
		mixed = (mixed ^ (mixed >>> 27)) * SECOND_FACTOR;
		mixed = mixed ^ (mixed >>> 31);
		return (mixed >>> 11) * FRACTION_UNIT;
	}

	/**
	 * Returns a random duration between half the maximum and the maximum.
	 * @param maximum the longest duration
	 * @return the duration
	 */
	public Duration jittered(Duration maximum) {
		return Duration.ofNanos((long) (maximum.toNanos() * (0.5 + 0.5 * fraction())));
	}

}
