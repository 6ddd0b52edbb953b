package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Limits for the ejection of unhealthy targets.
 *
 * @param connectionFailures number of consecutive refused, lost or stalled connections
 * that eject a target
 * @param runFailures number of consecutive failed requests that eject a target
 * @param asideFirst duration of a target's first ejection; it doubles with each further
 * one
 * @param asideLongest maximum duration of an ejection
 * @param failedShare maximum share of a service's targets that may be ejected for
 * failures
 * @param stragglerShare maximum share of a service's targets, ejected for failures or
 * slowness, up to which slow ones are ejected
 * @param stragglerFactor how many times slower than the median of its siblings a
 * straggler is
 * @param stragglerMargin minimum difference between a straggler's latency and the median
 * @param stragglerSamples minimum number of measured first tokens before a target is
 * compared
 * @param firstTokenCheck time after which an attempt without a first token first counts
 * as slow
 * @param returnAllowance initial number of requests in flight to a target that returns
 * @param fullAllowance number of requests in flight at which a returning target is no
 * longer limited
 * @param leavingMark how long a target without generations counts as leaving after its
 * last leaving notice
 * @param forget how long an unused target is remembered
 */
public record HealthPolicy(int connectionFailures, int runFailures, Duration asideFirst, Duration asideLongest,
		double failedShare, double stragglerShare, double stragglerFactor, Duration stragglerMargin,
		int stragglerSamples, Duration firstTokenCheck, int returnAllowance, int fullAllowance, Duration leavingMark,
		Duration forget) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static HealthPolicy standard() {
		return new HealthPolicy(2, 5, Duration.ofSeconds(1), Duration.ofSeconds(30), 2.0 / 3, 1.0 / 3, 3.0,
				Duration.ofMillis(200), 8, Duration.ofSeconds(1), 1, 32, Duration.ofMinutes(10), Duration.ofHours(1));
	}

}
