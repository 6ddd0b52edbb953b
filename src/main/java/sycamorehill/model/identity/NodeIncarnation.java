package sycamorehill.model.identity;

/**
 * One run of a node's process. A restarted node is a new incarnation, so that no message
 * sent to or by the earlier process is assigned to the new one.
 *
 * @param node the name of the node
 * @param number drawn at start-up, different for each incarnation
 */
public record NodeIncarnation(NodeName node, long number) {

	/**
	 * Creates an incarnation.
	 * @param node the name of the node
	 * @param number the number drawn at start-up
	 * @return the incarnation
	 */
	public static NodeIncarnation of(NodeName node, long number) {
		return new NodeIncarnation(node, number);
	}

	@Override
	public String toString() {
		return this.node + "-" + Long.toHexString(this.number);
	}

}
