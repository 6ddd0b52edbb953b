package sycamorehill.model.identity;

/**
 * Identifies one call to the platform or to a VM within one incarnation of a node.
 *
 * @param owner the component that made the call
 * @param number the sequence number among the calls of the owner
 */
public record CallIdentifier(CallOwner owner, long number) {

	/**
	 * Creates an identifier.
	 * @param owner the component that makes the call
	 * @param number the sequence number among the calls of the owner
	 * @return the identifier
	 */
	public static CallIdentifier of(CallOwner owner, long number) {
		return new CallIdentifier(owner, number);
	}

}
