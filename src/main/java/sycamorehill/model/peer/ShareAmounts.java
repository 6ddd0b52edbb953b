package sycamorehill.model.peer;

/**
 * Parts of a workspace's three limits.
 *
 * @param requests requests a second
 * @param tokens tokens a second
 * @param inFlight requests in flight
 */
public record ShareAmounts(double requests, double tokens, double inFlight) {

	/**
	 * Nothing of any limit.
	 */
	public static final ShareAmounts NONE = new ShareAmounts(0, 0, 0);

	/**
	 * Adds.
	 * @param other what to add
	 * @return the sum
	 */
	public ShareAmounts plus(ShareAmounts other) {
		return new ShareAmounts(this.requests + other.requests, this.tokens + other.tokens,
				this.inFlight + other.inFlight);
	}

	/**
	 * Subtracts, down to nothing.
	 * @param other what to subtract
	 * @return the difference, 0 where it would be negative
	 */
	public ShareAmounts minus(ShareAmounts other) {
		return new ShareAmounts(Math.max(0, this.requests - other.requests), Math.max(0, this.tokens - other.tokens),
				Math.max(0, this.inFlight - other.inFlight));
	}

	/**
	 * Scales.
	 * @param factor by how much
	 * @return the product
	 */
	public ShareAmounts times(double factor) {
		return new ShareAmounts(this.requests * factor, this.tokens * factor, this.inFlight * factor);
	}

	/**
	 * The greater of each part.
	 * @param other what to compare with
	 * @return the maxima
	 */
	public ShareAmounts max(ShareAmounts other) {
		return new ShareAmounts(Math.max(this.requests, other.requests), Math.max(this.tokens, other.tokens),
				Math.max(this.inFlight, other.inFlight));
	}

	/**
	 * The smaller of each part.
	 * @param other what to compare with
	 * @return the minima
	 */
	public ShareAmounts min(ShareAmounts other) {
		return new ShareAmounts(Math.min(this.requests, other.requests), Math.min(this.tokens, other.tokens),
				Math.min(this.inFlight, other.inFlight));
	}

	/**
	 * Whether there is nothing worth a message.
	 * @return whether all parts are next to nothing
	 */
	public boolean isNegligible() {
		return this.requests < 0.001 && this.tokens < 0.001 && this.inFlight < 0.001;
	}

}
