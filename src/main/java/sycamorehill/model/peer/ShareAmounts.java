package sycamorehill.model.peer;

/**
 * Amounts of the three limits of a workspace.
 *
 * @param requests requests per second
 * @param tokens tokens per second
 * @param inFlight requests in flight
 */
public record ShareAmounts(double requests, double tokens, double inFlight) {

	/**
	 * Zero of each limit.
	 */
	public static final ShareAmounts NONE = new ShareAmounts(0, 0, 0);

	/**
	 * Adds amounts.
	 * @param other the amounts to add
	 * @return the sum
	 */
	public ShareAmounts plus(ShareAmounts other) {
		return new ShareAmounts(this.requests + other.requests, this.tokens + other.tokens,
				this.inFlight + other.inFlight);
	}

	/**
	 * Subtracts amounts; a negative difference becomes 0.
	 * @param other the amounts to subtract
	 * @return the difference of each limit, at least 0
	 */
	public ShareAmounts minus(ShareAmounts other) {
		return new ShareAmounts(Math.max(0, this.requests - other.requests), Math.max(0, this.tokens - other.tokens),
				Math.max(0, this.inFlight - other.inFlight));
	}

	/**
	 * Multiplies the amounts by a factor.
	 * @param factor the factor
	 * @return the product
	 */
	public ShareAmounts times(double factor) {
		return new ShareAmounts(this.requests * factor, this.tokens * factor, this.inFlight * factor);
	}

	/**
	 * Returns the greater amount of each limit.
	 * @param other the amounts to compare with
	 * @return the maxima
	 */
	public ShareAmounts max(ShareAmounts other) {
		return new ShareAmounts(Math.max(this.requests, other.requests), Math.max(this.tokens, other.tokens),
				Math.max(this.inFlight, other.inFlight));
	}

	/**
	 * Returns the smaller amount of each limit.
	 * @param other the amounts to compare with
	 * @return the minima
	 */
	public ShareAmounts min(ShareAmounts other) {
		return new ShareAmounts(Math.min(this.requests, other.requests), Math.min(this.tokens, other.tokens),
				Math.min(this.inFlight, other.inFlight));
	}

	/**
	 * Tells whether the amounts are too small to send in a message.
	 * @return whether the amounts of all limits are close to 0
	 */
	public boolean areNegligible() {
		return this.requests < 0.001 && this.tokens < 0.001 && this.inFlight < 0.001;
	}

}
