package sycamorehill.logic.order;

import java.util.HashSet;
import java.util.Set;

import sycamorehill.model.identity.NodeName;

/**
 * What goes wrong in a history, as shares of everything that could.
 */
final class HistoryFaults {

	double messageLost;

	double messageDoubled;

	double messageLate;

	double callHeldBack;

	double targetRefuses;

	double targetLost;

	private final Set<NodeName> cutOff = new HashSet<>();

	/**
	 * Cuts a node off from all others, or puts it back.
	 * @param node the node
	 * @param isCut whether it is cut off
	 */
	void cutOff(OrderNode node, boolean isCut) {
		if (isCut) {
			this.cutOff.add(node.incarnation().node());
		}
		else {
			this.cutOff.remove(node.incarnation().node());
		}
	}

	boolean cut(OrderNode one, OrderNode other) {
		return one != other
				&& (this.cutOff.contains(one.incarnation().node()) || this.cutOff.contains(other.incarnation().node()));
	}

	void none() {
		this.messageLost = 0;
		this.messageDoubled = 0;
		this.messageLate = 0;
		this.callHeldBack = 0;
		this.targetRefuses = 0;
		this.targetLost = 0;
		this.cutOff.clear();
	}

}
