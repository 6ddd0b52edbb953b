package sycamorehill.model.serving;

/**
 * Requests a second.
 *
 * @param perSecond their number, finite and not negative
 */
public record RequestRate(double perSecond) {

	/**
	 * Checks the number.
	 */
	public RequestRate {
		if (!Double.isFinite(perSecond) || perSecond < 0) {
			throw new IllegalArgumentException("no rate of requests: " + perSecond);
		}
	}

}
