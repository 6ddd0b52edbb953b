package sycamorehill.model.policy;

/**
 * Bounds of heartbeats.
 */
public record MembershipPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static MembershipPolicy standard() {
		return new MembershipPolicy();
	}

}
