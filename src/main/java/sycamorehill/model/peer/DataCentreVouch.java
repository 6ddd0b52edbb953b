package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;

/**
 * The word of a delegate, or what a node has heard of it, that exactly a certain set of
 * nodes of a data centre was alive.
 *
 * @param dataCentre the data centre
 * @param hash of the nodes, their incarnations and whether they stop
 * @param ageMillis how long ago a delegate of the data centre gave its word; a duration,
 * because clocks of two nodes are never compared
 * @param unheard nodes of the set that the sender has not heard itself; only between
 * delegates of one data centre, so that two of them can't keep a dead node alive by each
 * relying on the other
 */
public record DataCentreVouch(DataCentreName dataCentre, long hash, int ageMillis, List<NodeName> unheard) {

	/**
	 * Takes a copy of the list.
	 */
	public DataCentreVouch {
		unheard = (unheard != null) ? List.copyOf(unheard) : List.of();
	}

}
