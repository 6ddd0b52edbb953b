package sycamorehill.model.identity;

/**
 * Identifies one call to the platform or to a VM within one life of a node.
 *
 * @param owner the part that made the call
 * @param number counts up within the owner
 */
public record CallIdentifier(CallOwner owner, long number) {

	/**
	 * Creates the identifier.
	 * @param owner the part that makes the call
	 * @param number its number
	 * @return the identifier
	 */
	public static CallIdentifier of(CallOwner owner, long number) {
		return new CallIdentifier(owner, number);
	}

}
