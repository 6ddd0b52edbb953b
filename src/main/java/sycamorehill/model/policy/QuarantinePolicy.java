package sycamorehill.model.policy;

/**
 * Bounds of isolating content that crashes targets.
 */
public record QuarantinePolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static QuarantinePolicy standard() {
		return new QuarantinePolicy();
	}

}
