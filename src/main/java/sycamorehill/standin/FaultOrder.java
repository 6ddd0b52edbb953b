package sycamorehill.standin;

import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * A fault to switch on, as sent to the fault switches.
 *
 * @param target platform, or vm, plain or domain with a colon and a name
 * @param fault the kind of fault, or clear
 * @param share share of the calls that it hits; 0 stands for all
 * @param seed decides which calls it hits
 * @param milliseconds delay of a slow platform
 */
public record FaultOrder(String target, String fault, double share, long seed, int milliseconds) {

	/**
	 * Ends the faults of a target.
	 */
	public static final String CLEAR = "clear";

	private static final int USUAL_DELAY = 500;

	/**
	 * Puts in what was left out.
	 */
	public FaultOrder {
		share = (share > 0) ? share : 1;
		milliseconds = (milliseconds > 0) ? milliseconds : USUAL_DELAY;
	}

	/**
	 * Draws the calls that the fault hits.
	 * @return a generator that starts from the seed
	 */
	RandomGenerator draws() {
		return new Random(this.seed);
	}

}
