package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIncarnation;

/**
 * Which groups of a data centre serve whole, as one of its stewards sees it.
 *
 * @param dataCentre the data centre
 * @param root the node from which the message spreads in the data centre of its readers
 * @param round counts the messages of the root
 * @param sentAt the sender's own monotonic time in milliseconds
 * @param allocationVersion version of the allocation that the steward knows
 * @param listHash hash of the VM list that the steward knows
 * @param sets the groups that serve, by set
 * @param facts what does not change within a generation; not in each message
 */
public record GroupsSent(DataCentreName dataCentre, NodeIncarnation root, long round, long sentAt,
		long allocationVersion, long listHash, List<GroupSetObservations> sets,
		List<GroupFacts> facts) implements PeerMessage {

	/**
	 * Takes copies of the lists.
	 */
	public GroupsSent {
		sets = List.copyOf(sets);
		facts = List.copyOf(facts);
	}

}
