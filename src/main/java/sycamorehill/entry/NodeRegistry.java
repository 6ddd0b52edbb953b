package sycamorehill.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import sycamorehill.model.serving.NodeRecord;

/**
 * The entry nodes, in the platform's store.
 */
public interface NodeRegistry {

	/**
	 * Enters a node, over any entry of an earlier life of it.
	 * @param node the node
	 * @return completes when it is entered, or fails
	 */
	CompletableFuture<Void> register(NodeRecord node);

	/**
	 * Lists all nodes.
	 * @param consistent whether the list must hold what was entered before; a copy that
	 * is seconds old costs the store less
	 * @return the nodes, or a failure
	 */
	CompletableFuture<List<NodeRecord>> list(boolean consistent);

	/**
	 * Takes a node out.
	 * @param name the node's name
	 * @return completes when it is out, or fails
	 */
	CompletableFuture<Void> deregister(String name);

}
