package sycamorehill.peer;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.peer.PeerMessage;

/**
 * Carries messages to other nodes, without a promise that they arrive.
 */
public interface PeerTransport extends AutoCloseable {

	/**
	 * Sends a message. Messages to one node keep their order while one connection lasts.
	 * @param to the node
	 * @param message the message
	 * @return done when the message was handed to the network; failed when it certainly
	 * will not arrive or may not have left
	 */
	CompletableFuture<Void> send(NodeIdentity to, PeerMessage message);

	/**
	 * Where other nodes reach this one.
	 * @return the address listened on
	 */
	Address listenAddress();

	/**
	 * Closes every connection; messages not yet written are dropped.
	 */
	@Override
	void close();

}
