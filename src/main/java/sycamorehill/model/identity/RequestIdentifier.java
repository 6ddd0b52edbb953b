package sycamorehill.model.identity;

/**
 * Identifies one request of a caller, unique across restarts.
 *
 * @param incarnation the incarnation of the node that received the request
 * @param number the sequence number within the incarnation
 */
public record RequestIdentifier(NodeIncarnation incarnation, long number) {

	/**
	 * Creates an identifier.
	 * @param incarnation the incarnation of the node that received the request
	 * @param number the sequence number within the incarnation
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
