package sycamorehill.logic.membership;

/**
 * State of the part: which nodes of ours are alive.
 */
public record MembershipState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static MembershipState initial() {
		return new MembershipState();
	}

}
