package sycamorehill.logic.membership;

import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

import sycamorehill.logic.NodeView;
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

	private static final String SALT = "delegate/";

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
	 * Whether this node speaks for its data centre.
	 * @param view what the node knows
	 * @return whether it is among the delegates
	 */
	public static boolean isDelegate(NodeView view) {
		NodeIdentity self = view.self();
		List<LiveNode> nodes = view.liveNodes().dutiful(self.dataCentre());
		return of(nodes, view.policy().membership().delegates()).stream()
			.anyMatch((node) -> node.identity().incarnation().equals(self.incarnation()));
	}

	/**
	 * The delegates of a data centre as a node sees them.
	 * @param view what the node knows
	 * @param dataCentre the data centre
	 * @return the delegates, the first choice first
	 */
	public static List<LiveNode> in(NodeView view, DataCentreName dataCentre) {
		return of(view.liveNodes().dutiful(dataCentre), view.policy().membership().delegates());
	}

	static long weight(NodeIdentity identity) {
		return Hashing.komihash5_0().hashCharsToLong(SALT + identity.incarnation().node());
	}

}
