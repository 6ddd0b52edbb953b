package sycamorehill.logic.admission;

/**
 * State of the part: limits, queues and early refusal.
 */
public record AdmissionState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static AdmissionState initial() {
		return new AdmissionState();
	}

}
