package sycamorehill.logic.platform;

import java.time.Duration;

/**
 * Random waits from a generator whose state is kept by the caller (SplitMix64).
 */
public final class Jitter {

	private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

	private static final double FRACTION_UNIT = 0x1.0p-53;

	private static final int DISCARDED_BITS = 11;

	private Jitter() {
	}

	/**
	 * The generator's next state.
	 * @param state the state
	 * @return the state after it
	 */
	public static long nextState(long state) {
		return state + GOLDEN_GAMMA;
	}

	/**
	 * A part of a range, drawn from a state.
	 * @param range the whole range
	 * @param state the generator's state
	 * @return a wait from zero up to the range
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
