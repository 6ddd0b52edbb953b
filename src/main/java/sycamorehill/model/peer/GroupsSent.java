package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIncarnation;

/**
 * Publishes the groups of a data centre whose members are all ready, as one of its
 * stewards has observed them.
 *
 * @param dataCentre the data centre of the groups
 * @param root the node that starts the distribution of the message in the data centre of
 * its receivers
 * @param round the sequence number among the messages of the root
 * @param sentAt the monotonic time of the sender in milliseconds
 * @param allocationVersion the version of the allocation that the steward knows
 * @param listHash the hash of the VM list that the steward knows
 * @param sets the serving groups, by set
 * @param facts the properties of the groups that stay the same within a generation. Not
 * every message contains them
 */
public record GroupsSent(DataCentreName dataCentre, NodeIncarnation root, long round, long sentAt,
		long allocationVersion, long listHash, List<GroupSetObservations> sets,
		List<GroupFacts> facts) implements PeerMessage {

	/**
	 * Copies the lists.
	 */
	public GroupsSent {
		sets = List.copyOf(sets);
		facts = List.copyOf(facts);
	}

}
