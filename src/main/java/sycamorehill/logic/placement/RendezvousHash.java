package sycamorehill.logic.placement;

import com.dynatrace.hash4j.hashing.Hashing;

import sycamorehill.model.identity.NodeName;

/**
 * Weighs nodes for duties by rendezvous hashing: all nodes that see the same live nodes
 * pick the same one, and a lost node moves only its own duties.
 */
public final class RendezvousHash {

	private static final char SEPARATOR = '/';

	private RendezvousHash() {
	}

	/**
	 * The weight of a node for a duty.
	 * @param duty names the duty
	 * @param node the node
	 * @return the weight, by which nodes are compared for the duty
	 */
	public static long weight(String duty, NodeName node) {
		return Hashing.komihash5_0().hashCharsToLong(duty + SEPARATOR + node);
	}

}
