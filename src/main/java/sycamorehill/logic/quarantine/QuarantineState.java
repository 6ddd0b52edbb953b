package sycamorehill.logic.quarantine;

/**
 * State of the part: content that crashes targets.
 */
public record QuarantineState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static QuarantineState initial() {
		return new QuarantineState();
	}

}
