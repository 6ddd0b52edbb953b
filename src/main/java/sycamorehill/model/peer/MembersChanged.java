package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;

/**
 * What has changed among the live nodes of a data centre. It only fits the set that it
 * began from; a node with another set asks for the whole.
 *
 * @param dataCentre the data centre
 * @param before hash of the set before
 * @param after hash of the set after
 * @param present nodes that came or changed
 * @param gone nodes that went
 */
public record MembersChanged(DataCentreName dataCentre, long before, long after, List<MemberEntry> present,
		List<NodeName> gone) implements PeerMessage {

	/**
	 * Takes copies of the lists.
	 */
	public MembersChanged {
		present = (present != null) ? List.copyOf(present) : List.of();
		gone = (gone != null) ? List.copyOf(gone) : List.of();
	}

}
