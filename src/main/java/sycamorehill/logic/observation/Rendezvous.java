package sycamorehill.logic.observation;

import java.util.Comparator;
import java.util.List;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.membership.LiveNode;

/**
 * Selects nodes for duties by rendezvous hashing. Nodes that know the same live nodes
 * select the same ones, and the loss of a node moves only its own duties.
 */
public final class Rendezvous {

	private static final String STEWARD_DUTY = "stewards";

	private Rendezvous() {
	}

	/**
	 * Returns the nodes in the order in which they are selected for a duty.
	 * @param nodes the nodes that may take on duties
	 * @param duty the name of the duty
	 * @return the nodes, the first choice first
	 */
	public static List<LiveNode> rank(List<LiveNode> nodes, String duty) {
		return nodes.stream()
			.sorted(Comparator.comparingLong((LiveNode node) -> weight(node, duty))
				.thenComparing((node) -> node.identity().incarnation().node()))
			.toList();
	}

	/**
	 * Returns the nodes that collect the observations of the VMs of a data centre and may
	 * control its groups.
	 * @param view the view of this node
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
	 * Tells whether this node is a steward of its data centre.
	 * @param view the view of this node
	 * @return whether this node is a steward, which is also the case while it knows no
	 * live node that may take on duties
	 */
	public static boolean isSteward(NodeView view) {
		List<NodeIdentity> stewards = stewards(view, view.self().dataCentre());
		return stewards.isEmpty() || stewards.contains(view.self());
	}

	private static long weight(LiveNode node, String duty) {
		return RendezvousHash.weight(duty, node.identity().incarnation().node());
	}

}
