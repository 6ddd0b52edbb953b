package sycamorehill.model.policy;

/**
 * Bounds of claims.
 */
public record OrderPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static OrderPolicy standard() {
		return new OrderPolicy();
	}

}
