package sycamorehill.logic.order;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.request.OrderKey;

/**
 * Where the claim of a key is kept and which node commits it.
 */
final class ShardPlacement {

	private static final String DUTY_PREFIX = "order-shard/";

	private ShardPlacement() {
	}

	static int shardOf(OrderKey key, int shards) {
		return (int) Long.remainderUnsigned(key.low() * 31 + key.high(), shards);
	}

	static ObjectKey page(int shard, long page) {
		return ObjectKey.of(ObjectKind.ORDER_SHARD, "%04d-%012d".formatted(shard, page));
	}

	/**
	 * The node that commits the claims of a shard, by rendezvous hashing over all live
	 * nodes. Two nodes that disagree do no harm: the conditional update decides.
	 * @param shard the shard
	 * @param view the live nodes
	 * @return the node, this one if none is known
	 */
	static NodeIdentity keeper(int shard, NodeView view) {
		NodeIdentity best = view.self();
		long bestScore = score(shard, best.incarnation().node());
		for (LiveNode node : view.liveNodes().nodes().values()) {
			long score = score(shard, node.identity().incarnation().node());
			if (!node.stopping() && Long.compareUnsigned(score, bestScore) > 0) {
				best = node.identity();
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * The live node that issued the number of a key.
	 * @param key the key of an issued number
	 * @param view the live nodes
	 * @return the node, or null if its issuer is not alive
	 */
	static NodeIdentity issuer(OrderKey key, NodeView view) {
		if (OrderNumbers.isIssuedBy(key, view.self().incarnation())) {
			return view.self();
		}
		for (LiveNode node : view.liveNodes().nodes().values()) {
			if (OrderNumbers.isIssuedBy(key, node.identity().incarnation())) {
				return node.identity();
			}
		}
		return null;
	}

	private static long score(int shard, NodeName node) {
		return RendezvousHash.weight(DUTY_PREFIX + shard, node);
	}

}
