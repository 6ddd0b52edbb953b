package sycamorehill.model.identity;

/**
 * Identifies one attempt to send a request to one target. It is unique across restarts,
 * so that a late frame of an abandoned attempt is never assigned to another attempt.
 *
 * @param incarnation the incarnation of the node that makes the attempt
 * @param number the sequence number within the incarnation
 */
public record AttemptIdentifier(NodeIncarnation incarnation, long number) {

	/**
	 * Creates an identifier.
	 * @param incarnation the incarnation of the node that makes the attempt
	 * @param number the sequence number within the incarnation
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
