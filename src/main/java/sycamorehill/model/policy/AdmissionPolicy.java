package sycamorehill.model.policy;

/**
 * Bounds of queues, limits and concurrency.
 */
public record AdmissionPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static AdmissionPolicy standard() {
		return new AdmissionPolicy();
	}

}
