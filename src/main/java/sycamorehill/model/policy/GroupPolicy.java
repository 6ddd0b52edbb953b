package sycamorehill.model.policy;

/**
 * Bounds of group control.
 */
public record GroupPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static GroupPolicy standard() {
		return new GroupPolicy();
	}

}
