package sycamorehill.runtime;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.peer.PeerMessage;

/**
 * Sends messages to other nodes.
 */
@FunctionalInterface
public interface PeerSender {

	/**
	 * Sends a message.
	 * @param to the receiving node
	 * @param message the message
	 * @return a future that completes when the message has been passed to the network,
	 * and fails if that was not possible
	 */
	CompletableFuture<Void> send(NodeIdentity to, PeerMessage message);

}
