package sycamorehill.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import sycamorehill.model.serving.NodeRecord;

/**
 * Registry of the entry nodes, in the store of the platform.
 */
public interface NodeRegistry {

	/**
	 * Registers a node and replaces any entry of an earlier incarnation.
	 * @param node the node
	 * @return completes when the node is registered, or fails
	 */
	CompletableFuture<Void> register(NodeRecord node);

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

}
