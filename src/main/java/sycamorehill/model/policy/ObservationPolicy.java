package sycamorehill.model.policy;

/**
 * Bounds of the sight of target VMs.
 */
public record ObservationPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static ObservationPolicy standard() {
		return new ObservationPolicy();
	}

}
