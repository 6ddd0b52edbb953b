package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;

/**
 * The live nodes of a data centre.
 *
 * @param dataCentre the data centre
 * @param ageMillis how long ago a delegate of the data centre gave its word
 * @param members the nodes
 */
public record MembersSent(DataCentreName dataCentre, int ageMillis, List<MemberEntry> members) implements PeerMessage {

	/**
	 * Takes a copy of the list.
	 */
	public MembersSent {
		members = (members != null) ? List.copyOf(members) : List.of();
	}

}
