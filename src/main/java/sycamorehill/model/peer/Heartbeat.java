package sycamorehill.model.peer;

import java.util.List;

/**
 * A sign of life between nodes.
 *
 * @param stopping whether the sender has begun to stop: it takes no new duties
 * @param ticketNumber the last ticket that the sender has in force, -1 for no truth
 * @param intervalMillis when the sender's next heartbeat is due
 * @param wantsReply whether the sender wants to hear what the receiver knows
 * @param vouches what the sender knows of each data centre
 */
public record Heartbeat(boolean stopping, long ticketNumber, int intervalMillis, boolean wantsReply,
		List<DataCentreVouch> vouches) implements PeerMessage {

	/**
	 * Takes a copy of the list.
	 */
	public Heartbeat {
		vouches = (vouches != null) ? List.copyOf(vouches) : List.of();
	}

}
