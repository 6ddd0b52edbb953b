package sycamorehill.logic.platform;

import java.time.Duration;

/**
 * Computes random delays. The caller keeps the state of the generator (SplitMix64).
 */
public final class Jitter {

	private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

	private static final double FRACTION_UNIT = 0x1.0p-53;

	private static final int DISCARDED_BITS = 11;

	private Jitter() {
	}

	/**
	 * Advances the generator.
	 * @param state the current state
	 * @return the next state
	 */
	public static long nextState(long state) {
		return state + GOLDEN_GAMMA;
	}

	/**
	 * Returns a random duration within a range.
	 * @param range the upper bound
	 * @param state the state of the generator
	 * @return a duration from zero to the range
	 */
	public static Duration randomDuration(Duration range, long state) {
		double fraction = (mix(state) >>> DISCARDED_BITS) * FRACTION_UNIT;
		return Duration.ofNanos((long) (range.toNanos() * fraction));
	}

	private static long mix(long state) {
		long mixed = (state ^ (state >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
