package sycamorehill.model.policy;

/**
 * Bounds of attempts, retries and stalls.
 */
public record RequestPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static RequestPolicy standard() {
		return new RequestPolicy();
	}

}
