package sycamorehill.peer;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.peer.PeerMessage;

/**
 * Sends messages to other nodes, without a guarantee of delivery.
 */
public interface PeerTransport extends AutoCloseable {

	/**
	 * Sends a message. Messages to one node arrive in the order in which they were sent
	 * as long as they use the same connection.
	 * @param to the receiving node
	 * @param message the message
	 * @return a future that completes when the message was handed to the network, and
	 * fails if the message will certainly not arrive or may not have been sent
	 */
	CompletableFuture<Void> send(NodeIdentity to, PeerMessage message);

	/**
	 * Returns the address on which other nodes reach this one.
	 * @return the address that the transport listens on
	 */
	Address listenAddress();

	/**
	 * Closes all connections. Messages that are not written yet are dropped.
	 */
	@Override
	void close();

}
