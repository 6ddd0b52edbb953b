package sycamorehill.logic.group;

/**
 * State of the part: forming, repairing and draining of model groups.
 */
public record GroupState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static GroupState initial() {
		return new GroupState();
	}

}
