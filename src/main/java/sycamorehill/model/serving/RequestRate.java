package sycamorehill.model.serving;

/**
 * Rate of requests.
 *
 * @param perSecond requests per second, finite and not negative
 */
public record RequestRate(double perSecond) {

	/**
	 * Validates the rate.
	 */
	public RequestRate {
		if (!Double.isFinite(perSecond) || perSecond < 0) {
			throw new IllegalArgumentException("no rate of requests: " + perSecond);
		}
	}

}
