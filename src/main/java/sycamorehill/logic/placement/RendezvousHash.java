package sycamorehill.logic.placement;

import com.dynatrace.hash4j.hashing.Hashing;

import sycamorehill.model.identity.NodeName;

/**
 * Assigns duties to nodes by rendezvous hashing: nodes that agree on the live nodes
 * choose the same node for a duty, and the loss of a node moves only the duties of that
 * node.
 */
public final class RendezvousHash {

	private static final char SEPARATOR = '/';

	private RendezvousHash() {
	}

	/**
	 * Returns the weight of a node for a duty. Nodes are compared by it.
	 * @param duty the name of the duty
	 * @param node the node
	 * @return the weight
	 */
	public static long weight(String duty, NodeName node) {
		return Hashing.komihash5_0().hashCharsToLong(duty + SEPARATOR + node);
	}

}
