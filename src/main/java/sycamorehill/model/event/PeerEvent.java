package sycamorehill.model.event;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.peer.PeerMessage;

/**
 * Events from other nodes.
 */
public sealed interface PeerEvent extends Event {

	/**
	 * A message of another node was received.
	 *
	 * @param from the sender
	 * @param message the message
	 */
	record MessageReceived(NodeIdentity from, PeerMessage message) implements PeerEvent {
	}

	/**
	 * A message could not be sent.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record SendFailed(NodeName to, PeerMessage message) implements PeerEvent {
	}

}
