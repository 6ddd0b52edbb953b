package sycamorehill.entry;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.identity.Address;

/**
 * The entry nodes, in the platform's store.
 */
public interface NodeRegister {

	/**
	 * Enters a node, over any entry of an earlier life of it.
	 * @param name the node's name
	 * @param address where it takes messages of other nodes
	 * @return completes when it is entered, or fails
	 */
	CompletableFuture<Void> enter(String name, Address address);

	/**
	 * Takes a node out.
	 * @param name the node's name
	 * @return completes when it is out, or fails
	 */
	CompletableFuture<Void> leave(String name);

}
