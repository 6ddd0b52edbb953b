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
 * Determines the page that stores a claim and the node that commits it.
 */
final class ShardPlacement {

	private static final String HASH_KEY_PREFIX = "order-shard/";

	private ShardPlacement() {
	}

	static int shardOf(OrderKey key, int shards) {
		return (int) Long.remainderUnsigned(key.low() * 31 + key.high(), shards);
	}

	static ObjectKey pageKey(int shard, long page) {
		return ObjectKey.of(ObjectKind.ORDER_SHARD, "%04d-%012d".formatted(shard, page));
	}

	/**
	 * Returns the owner of a shard, the node that commits its claims. The owner is chosen
	 * by rendezvous hashing over all live nodes. Two nodes that choose different owners
	 * do no harm, because the conditional update lets only one of two competing writes
	 * succeed.
	 * @param shard the shard
	 * @param view the view of the live nodes
	 * @return the owner, this node if no other node is known
	 */
	static NodeIdentity owner(int shard, NodeView view) {
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
	 * Returns the live node that issued an order number.
	 * @param key the key of the order number
	 * @param view the view of the live nodes
	 * @return the issuer, or null if it is not live
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
		return RendezvousHash.weight(HASH_KEY_PREFIX + shard, node);
	}

}
