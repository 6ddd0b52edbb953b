package sycamorehill.model.identity;

/**
 * One life of a node's process. A restarted node is a new incarnation, so that nothing
 * said to or by its earlier life is taken for its own.
 *
 * @param node the node
 * @param number drawn at start-up, different for each life
 */
public record NodeIncarnation(NodeName node, long number) {

	/**
	 * Creates the incarnation.
	 * @param node the node
	 * @param number the number of this life
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
