package sycamorehill.logic.quarantine;

import java.util.Comparator;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.ServiceName;

/**
 * Selects one live node per service as its arbiter, which isolates suspects from each
 * other. A partitioned data centre selects its own arbiter.
 */
final class ArbiterSelection {

	private static final String HASH_KEY_PREFIX = "arbiter/";

	private ArbiterSelection() {
	}

	static NodeIdentity arbiterOf(NodeView view, ServiceName service) {
		return view.liveNodes()
			.nodes()
			.values()
			.stream()
			.filter((node) -> !node.stopping())
			.map((node) -> node.identity())
			.max(Comparator.comparingLong((node) -> weight(node, service)))
			.orElse(view.self());
	}

	static boolean isSelf(NodeView view, NodeIdentity node) {
		return node.incarnation().equals(view.self().incarnation());
	}

	private static long weight(NodeIdentity node, ServiceName service) {
		return RendezvousHash.weight(HASH_KEY_PREFIX + service, node.incarnation().node());
	}

}
