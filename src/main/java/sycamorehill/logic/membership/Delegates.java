package sycamorehill.logic.membership;

import java.util.Comparator;
import java.util.List;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.membership.LiveNode;

/**
 * The nodes that speak for a data centre: those with the highest hash (rendezvous
 * hashing), so that a change of the live nodes moves as few delegates as possible. Nodes
 * that disagree for a while on who is alive may take different ones for delegates: more
 * delegates than wanted do no harm.
 */
public final class Delegates {

	private static final String DUTY = "delegate";

	private Delegates() {
	}

	/**
	 * Chooses the delegates.
	 * @param nodes the nodes of one data centre that take duties
	 * @param count how many delegates there are to be
	 * @return the delegates, the first choice first
	 */
	public static List<LiveNode> of(List<LiveNode> nodes, int count) {
		return nodes.stream()
			.sorted(Comparator.comparingLong((LiveNode node) -> weight(node.identity())).reversed())
			.limit(count)
			.toList();
	}

	/**
	 * The delegates of a data centre as a node sees them.
	 * @param view what the node knows
	 * @param dataCentre the data centre
	 * @return the delegates, the first choice first
	 */
	public static List<LiveNode> in(NodeView view, DataCentreName dataCentre) {
		return of(view.liveNodes().notStoppingIn(dataCentre), view.policy().membership().delegates());
	}

	static long weight(NodeIdentity identity) {
		return RendezvousHash.weight(DUTY, identity.incarnation().node());
	}

}
