package sycamorehill.logic.dispatch;

import java.util.Set;

/**
 * The nodes among which the requests that cold targets may receive are divided.
 *
 * @param names names of all nodes that this node counts, including its own
 * @param counted whether all of them count this node, which then may use its shares
 */
public record CountedNodes(Set<String> names, boolean counted) {

	/** Before the nodes are known, this node has no share. */
	static final CountedNodes UNKNOWN = new CountedNodes(Set.of(), false);

	/**
	 * Copies the names.
	 */
	public CountedNodes {
		names = Set.copyOf(names);
	}

}
