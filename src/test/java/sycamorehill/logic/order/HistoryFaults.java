package sycamorehill.logic.order;

import java.util.HashSet;
import java.util.Set;

import sycamorehill.model.identity.NodeName;

/**
 * Holds the faults that a history injects: the probability of each kind of fault and the
 * partitioned nodes.
 */
final class HistoryFaults {

	double messageLost;

	double messageDuplicated;

	double messageDelayed;

	double callDelayed;

	double targetRefused;

	double answerLost;

	private final Set<NodeName> partitioned = new HashSet<>();

	/**
	 * Partitions a node from all others, or reconnects it.
	 * @param node the node
	 * @param isPartitioned whether the node is partitioned
	 */
	void setPartitioned(OrderNode node, boolean isPartitioned) {
		if (isPartitioned) {
			this.partitioned.add(node.incarnation().node());
		}
		else {
			this.partitioned.remove(node.incarnation().node());
		}
	}

	boolean isPartitioned(OrderNode one, OrderNode other) {
		return one != other && (this.partitioned.contains(one.incarnation().node())
				|| this.partitioned.contains(other.incarnation().node()));
	}

	void clear() {
		this.messageLost = 0;
		this.messageDuplicated = 0;
		this.messageDelayed = 0;
		this.callDelayed = 0;
		this.targetRefused = 0;
		this.answerLost = 0;
		this.partitioned.clear();
	}

}
