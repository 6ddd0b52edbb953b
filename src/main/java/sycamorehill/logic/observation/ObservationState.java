package sycamorehill.logic.observation;

/**
 * State of the part: which target VMs were seen, and in which state.
 */
public record ObservationState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static ObservationState initial() {
		return new ObservationState();
	}

}
