package sycamorehill.model.identity;

/**
 * Identifies one sending of a request to one target, unique over restarts, so that a late
 * frame of an abandoned attempt is never taken for another.
 *
 * @param incarnation the life of the node that drew it
 * @param number counts up within that life
 */
public record AttemptIdentifier(NodeIncarnation incarnation, long number) {

	/**
	 * Creates the identifier.
	 * @param incarnation the life of the node that draws it
	 * @param number its number within that life
	 * @return the identifier
	 */
	public static AttemptIdentifier of(NodeIncarnation incarnation, long number) {
		return new AttemptIdentifier(incarnation, number);
	}

	@Override
	public String toString() {
		return this.incarnation + "-a" + this.number;
	}

}
