package sycamorehill.logic;

import java.time.Duration;

/**
 * Random numbers as a value: the same seed gives the same numbers (SplitMix64).
 *
 * @param position where the sequence stands
 */
public record RandomSequence(long position) {

	private static final long INCREMENT = 0x9E3779B97F4A7C15L;

	private static final long FIRST_FACTOR = 0xBF58476D1CE4E5B9L;

	private static final long SECOND_FACTOR = 0x94D049BB133111EBL;

	private static final double FRACTION_UNIT = 0x1.0p-53;

	/**
	 * Creates the sequence of a seed.
	 * @param seed the seed
	 * @return the sequence
	 */
	public static RandomSequence of(long seed) {
		return new RandomSequence(seed);
	}

	/**
	 * The sequence after its present number.
	 * @return the rest of the sequence
	 */
	public RandomSequence next() {
		return new RandomSequence(this.position + INCREMENT);
	}

	/**
	 * The present number as a fraction.
	 * @return from 0 to below 1
	 */
	public double fraction() {
		long mixed = this.position + INCREMENT;
		mixed = (mixed ^ (mixed >>> 30)) * FIRST_FACTOR;
		mixed = (mixed ^ (mixed >>> 27)) * SECOND_FACTOR;
		mixed = mixed ^ (mixed >>> 31);
		return (mixed >>> 11) * FRACTION_UNIT;
	}

	/**
	 * A random duration between half of one and the whole.
	 * @param maximum the upper bound
	 * @return the duration
	 */
	public Duration jittered(Duration maximum) {
		return Duration.ofNanos((long) (maximum.toNanos() * (0.5 + 0.5 * fraction())));
	}

}
