package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;

/**
 * Reports the changes to the live nodes of a data centre since the previous set. A node
 * that knows another previous set asks for the complete set.
 *
 * @param dataCentre the data centre
 * @param before the hash of the set before the change
 * @param after the hash of the set after the change
 * @param present the nodes that were added or changed
 * @param gone the nodes that were removed
 */
public record MembersChanged(DataCentreName dataCentre, long before, long after, List<MemberEntry> present,
		List<NodeName> gone) implements PeerMessage {

	/**
	 * Copies the lists.
	 */
	public MembersChanged {
		present = (present != null) ? List.copyOf(present) : List.of();
		gone = (gone != null) ? List.copyOf(gone) : List.of();
	}

}
