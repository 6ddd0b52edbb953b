package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.NodeName;

/**
 * A sign of life between nodes. While both ends know the same nodes it carries no more
 * than the hash of what the sender knows and its age.
 *
 * @param stopping whether the sender has begun to stop: it takes no new duties
 * @param ticketNumber the last ticket that the sender has in force, -1 for no truth
 * @param intervalMillis when the sender's next heartbeat is due
 * @param wantsReply whether the sender wants to hear what the receiver knows
 * @param viewHash of the live nodes of all data centres that the sender knows
 * @param agesMillis how long ago a delegate of each data centre gave its word, by the
 * data centre's name; means something only to a receiver with the same hash
 * @param unheard nodes of the sender's data centre that it counts as alive and has not
 * heard itself; only between delegates of one data centre, so that two of them can't keep
 * a dead node alive by each relying on the other
 * @param vouches the same word by data centre, for a receiver with another hash
 */
public record Heartbeat(boolean stopping, long ticketNumber, int intervalMillis, boolean wantsReply, long viewHash,
		List<Integer> agesMillis, List<NodeName> unheard, List<DataCentreConfirmation> vouches) implements PeerMessage {

	/**
	 * Takes copies of the lists.
	 */
	public Heartbeat {
		agesMillis = (agesMillis != null) ? List.copyOf(agesMillis) : List.of();
		unheard = (unheard != null) ? List.copyOf(unheard) : List.of();
		vouches = (vouches != null) ? List.copyOf(vouches) : List.of();
	}

}
