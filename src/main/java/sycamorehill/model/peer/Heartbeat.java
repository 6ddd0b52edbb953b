package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.NodeName;

/**
 * A heartbeat between nodes. While both nodes know the same live nodes, it carries only
 * the hash of the live nodes and the age of this knowledge.
 *
 * @param stopping whether the sender is stopping, so that it takes on no new duties
 * @param ticketNumber the last ticket that the sender has applied, -1 if it has no
 * desired state yet
 * @param intervalMillis the time to the next heartbeat of the sender, in milliseconds
 * @param wantsReply whether the sender asks for a reply with the live nodes that the
 * receiver knows
 * @param viewHash the hash of the live nodes of all data centres that the sender knows
 * @param agesMillis the time since a delegate of each data centre confirmed its live
 * nodes, in milliseconds and in the order of the names of the data centres. Only a
 * receiver with the same hash can interpret it
 * @param unheard the nodes of the sender's data centre that it takes to be live without
 * having received a heartbeat from them. It is sent only between delegates of one data
 * centre, so that two delegates can't keep a failed node live by each relying on the
 * other
 * @param vouches the confirmations by data centre, for a receiver with another hash
 */
public record Heartbeat(boolean stopping, long ticketNumber, int intervalMillis, boolean wantsReply, long viewHash,
		List<Integer> agesMillis, List<NodeName> unheard, List<DataCentreConfirmation> vouches) implements PeerMessage {

	/**
	 * Copies the lists.
	 */
	public Heartbeat {
		agesMillis = (agesMillis != null) ? List.copyOf(agesMillis) : List.of();
		unheard = (unheard != null) ? List.copyOf(unheard) : List.of();
		vouches = (vouches != null) ? List.copyOf(vouches) : List.of();
	}

}
