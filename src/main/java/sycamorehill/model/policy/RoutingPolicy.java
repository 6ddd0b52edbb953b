package sycamorehill.model.policy;

/**
 * Bounds of the choice of a target.
 */
public record RoutingPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static RoutingPolicy standard() {
		return new RoutingPolicy();
	}

}
