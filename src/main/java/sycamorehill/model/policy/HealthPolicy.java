package sycamorehill.model.policy;

/**
 * Bounds of putting targets aside.
 */
public record HealthPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static HealthPolicy standard() {
		return new HealthPolicy();
	}

}
