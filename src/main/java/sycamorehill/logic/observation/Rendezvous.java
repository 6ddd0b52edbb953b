package sycamorehill.logic.observation;

import java.util.Comparator;
import java.util.List;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.membership.LiveNode;

/**
 * Picks nodes for duties by rendezvous hashing: all nodes that see the same live nodes
 * pick the same ones, and a lost node moves only its own duties.
 */
public final class Rendezvous {

	private static final String STEWARD_DUTY = "stewards";

	private Rendezvous() {
	}

	/**
	 * The nodes in the order in which they take a duty.
	 * @param nodes the nodes that take duties
	 * @param duty names the duty
	 * @return the nodes, the first choice first
	 */
	public static List<LiveNode> rank(List<LiveNode> nodes, String duty) {
		return nodes.stream()
			.sorted(Comparator.comparingLong((LiveNode node) -> weight(node, duty))
				.thenComparing((node) -> node.identity().incarnation().node()))
			.toList();
	}

	/**
	 * The nodes that collect the sights of a data centre's VMs and may control its
	 * groups.
	 * @param view the node's view
	 * @param dataCentre the data centre
	 * @return the stewards, the first choice first
	 */
	public static List<NodeIdentity> stewards(NodeView view, DataCentreName dataCentre) {
		return rank(view.liveNodes().notStoppingIn(dataCentre), STEWARD_DUTY).stream()
			.limit(view.policy().observation().stewards())
			.map(LiveNode::identity)
			.toList();
	}

	/**
	 * Whether this node is a steward of its data centre.
	 * @param view the node's view
	 * @return whether it is; also as long as it knows of no node at all
	 */
	public static boolean isSteward(NodeView view) {
		List<NodeIdentity> stewards = stewards(view, view.self().dataCentre());
		return stewards.isEmpty() || stewards.contains(view.self());
	}

	private static long weight(LiveNode node, String duty) {
		return RendezvousHash.weight(duty, node.identity().incarnation().node());
	}

}
