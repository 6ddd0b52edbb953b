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
	 * @param to the node
	 * @param message the message
	 * @return done when it is handed to the network; fails if it could not be
	 */
	CompletableFuture<Void> send(NodeIdentity to, PeerMessage message);

}
