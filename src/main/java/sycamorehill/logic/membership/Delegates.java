package sycamorehill.logic.membership;

import java.util.Comparator;
import java.util.List;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.membership.LiveNode;

/**
 * Selects the nodes that represent a data centre towards the other data centres and
 * confirm its live nodes. They are the nodes with the highest rendezvous hash, so that a
 * change of the live nodes replaces as few delegates as possible. Nodes that temporarily
 * disagree on the live nodes may select different delegates. This is safe: surplus
 * delegates do no harm.
 */
public final class Delegates {

	private static final String DUTY = "delegate";

	private Delegates() {
	}

	/**
	 * Returns the delegates among the nodes of a data centre.
	 * @param nodes the nodes of the data centre that may take on duties
	 * @param count the number of delegates
	 * @return the delegates, the highest hash first
	 */
	public static List<LiveNode> of(List<LiveNode> nodes, int count) {
		return nodes.stream()
			.sorted(Comparator.comparingLong((LiveNode node) -> weight(node.identity())).reversed())
			.limit(count)
			.toList();
	}

	/**
	 * Returns the delegates of a data centre according to the live nodes that this node
	 * knows.
	 * @param view the view of this node
	 * @param dataCentre the data centre
	 * @return the delegates, the highest hash first
	 */
	public static List<LiveNode> in(NodeView view, DataCentreName dataCentre) {
		return of(view.liveNodes().notStoppingIn(dataCentre), view.policy().membership().delegates());
	}

	static long weight(NodeIdentity identity) {
		return RendezvousHash.weight(DUTY, identity.incarnation().node());
	}

}
