package sycamorehill.model.effect;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.peer.PeerMessage;

/**
 * Effects on other nodes.
 */
public sealed interface PeerEffect extends Effect {

	/**
	 * Sends a message without guaranteed delivery.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(NodeIdentity to, PeerMessage message) implements PeerEffect {
	}

}
