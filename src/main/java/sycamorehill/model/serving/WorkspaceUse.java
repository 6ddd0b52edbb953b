package sycamorehill.model.serving;

/**
 * What one or more workspaces have recently asked of a service, and what of it was
 * admitted. The unit is a token for models and a request for plain services; older
 * amounts count less.
 *
 * @param asked the amount of all requests that arrived
 * @param admitted the amount of the requests that were admitted
 */
public record WorkspaceUse(double asked, double admitted) {

	/** No use. */
	public static final WorkspaceUse NONE = new WorkspaceUse(0, 0);

	/** An amount that a workspace used half a minute ago, or longer, is below it. */
	private static final double NEGLIGIBLE_AMOUNT = 0.05;

	/**
	 * Adds a use.
	 * @param other the other use
	 * @return the sum
	 */
	public WorkspaceUse plus(WorkspaceUse other) {
		return new WorkspaceUse(this.asked + other.asked, this.admitted + other.admitted);
	}

	/**
	 * Subtracts a use that is part of this one.
	 * @param part the part
	 * @return the rest, never negative
	 */
	public WorkspaceUse minus(WorkspaceUse part) {
		return new WorkspaceUse(Math.max(0, this.asked - part.asked), Math.max(0, this.admitted - part.admitted));
	}

	/**
	 * Returns whether nothing was asked lately.
	 * @return true if the use doesn't count
	 */
	public boolean isNegligible() {
		return this.asked < NEGLIGIBLE_AMOUNT && this.admitted < NEGLIGIBLE_AMOUNT;
	}

}
