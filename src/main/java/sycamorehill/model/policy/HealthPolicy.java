package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of putting targets aside.
 *
 * @param connectionFailures connections refused, lost or stalled in a row that put a
 * target aside
 * @param runFailures failed requests in a row that put a target aside
 * @param asideFirst how long a target is first put aside; it doubles each time
 * @param asideLongest the longest time aside
 * @param failedShare the largest share of a service's targets put aside for failures
 * @param stragglerShare the largest share of a service's targets put aside for failures
 * and slowness together, before a slow one is put aside
 * @param stragglerFactor how many times slower than the median of its siblings a
 * straggler is
 * @param stragglerMargin how much slower it is at least
 * @param stragglerSamples measured first tokens before a target is compared
 * @param firstTokenCheck when an attempt without a first token is first counted as slow
 * @param returnAllowance requests in flight that a returning target begins with
 * @param fullAllowance requests in flight from which on a returning target is like any
 * other
 * @param leavingMark how long a target without generations counts as leaving after its
 * last word of it
 * @param forget how long a target that is not used is remembered
 */
public record HealthPolicy(int connectionFailures, int runFailures, Duration asideFirst, Duration asideLongest,
		double failedShare, double stragglerShare, double stragglerFactor, Duration stragglerMargin,
		int stragglerSamples, Duration firstTokenCheck, int returnAllowance, int fullAllowance, Duration leavingMark,
		Duration forget) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static HealthPolicy standard() {
		return new HealthPolicy(2, 5, Duration.ofSeconds(1), Duration.ofSeconds(30), 2.0 / 3, 1.0 / 3, 3.0,
				Duration.ofMillis(200), 8, Duration.ofSeconds(1), 1, 32, Duration.ofMinutes(10), Duration.ofHours(1));
	}

}
