package sycamorehill.model.identity;

/**
 * Identifies one call of a caller, unique over restarts.
 *
 * @param incarnation the life of the node that drew it
 * @param number counts up within that life
 */
public record RequestIdentifier(NodeIncarnation incarnation, long number) {

	/**
	 * Creates the identifier.
	 * @param incarnation the life of the node that draws it
	 * @param number its number within that life
	 * @return the identifier
	 */
	public static RequestIdentifier of(NodeIncarnation incarnation, long number) {
		return new RequestIdentifier(incarnation, number);
	}

	@Override
	public String toString() {
		return this.incarnation + "-r" + this.number;
	}

}
