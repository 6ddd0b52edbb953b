package sycamorehill.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import sycamorehill.model.serving.NodeRecord;

/**
 * Registry of the entry nodes, in the store of the platform.
 */
public interface NodeRegistry {

	/**
	 * Registers a node and replaces any entry of an earlier incarnation.
	 * @param node the node
	 * @param incarnation identifier of the process's life
	 * @return the entry that an earlier incarnation left, which a planned stop would have
	 * removed; fails if the node could not be registered
	 */
	CompletableFuture<Optional<EarlierEntry>> register(NodeRecord node, String incarnation);

	/**
	 * Lists all nodes.
	 * @param consistent whether the list must contain all nodes registered before the
	 * call; a copy that is seconds old costs the store less
	 * @return the nodes, or a failure
	 */
	CompletableFuture<List<NodeRecord>> list(boolean consistent);

	/**
	 * Removes a node.
	 * @param name the name of the node
	 * @return completes when the node is removed, or fails
	 */
	CompletableFuture<Void> deregister(String name);

	/**
	 * Entry of a node that an earlier life of its process left.
	 *
	 * @param incarnation identifier of that life; empty if the entry names none
	 * @param revision revision of the store at which that life registered
	 */
	record EarlierEntry(Optional<String> incarnation, long revision) {
	}

}
