package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;

/**
 * Answers {@link MembersAsked} with the live nodes of a data centre.
 *
 * @param dataCentre the data centre
 * @param ageMillis the time since a delegate of the data centre confirmed these nodes, in
 * milliseconds
 * @param members the live nodes
 */
public record MembersSent(DataCentreName dataCentre, int ageMillis, List<MemberEntry> members) implements PeerMessage {

	/**
	 * Copies the list.
	 */
	public MembersSent {
		members = (members != null) ? List.copyOf(members) : List.of();
	}

}
