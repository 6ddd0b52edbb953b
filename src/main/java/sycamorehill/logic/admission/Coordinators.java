package sycamorehill.logic.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;

/**
 * Which node of each data centre brings lenders and borrowers of a workspace's limits
 * together, by rendezvous hashing. Two nodes that both think it is them do no harm: a
 * coordinator has no right to any share but what is lent to it.
 *
 * @param byDataCentre live nodes that take duties
 */
record Coordinators(Map<DataCentreName, List<NodeIdentity>> byDataCentre) {

	static Coordinators of(LiveNodes nodes) {
		Map<DataCentreName, List<NodeIdentity>> nodesByDataCentre = new TreeMap<>();
		for (LiveNode node : nodes.nodes().values()) {
			if (!node.stopping()) {
				nodesByDataCentre.computeIfAbsent(node.identity().dataCentre(), (name) -> new ArrayList<>())
					.add(node.identity());
			}
		}
		return new Coordinators(nodesByDataCentre);
	}

	/**
	 * The coordinator of a workspace in a data centre.
	 * @param workspace the workspace
	 * @param dataCentre the data centre
	 * @return the node, empty if none is known to live
	 */
	Optional<NodeIdentity> coordinator(WorkspaceName workspace, DataCentreName dataCentre) {
		NodeIdentity best = null;
		long bestWeight = 0;
		for (NodeIdentity node : nodes(dataCentre)) {
			long weight = RendezvousHash.weight(workspace.value(), node.incarnation().node());
			if (best == null || weight > bestWeight) {
				best = node;
				bestWeight = weight;
			}
		}
		return Optional.ofNullable(best);
	}

	List<NodeIdentity> nodes(DataCentreName dataCentre) {
		return this.byDataCentre.getOrDefault(dataCentre, List.of());
	}

	/**
	 * The coordinators of a workspace in the other data centres.
	 * @param workspace the workspace
	 * @param excluded the data centre to leave out
	 * @return one node for each data centre with live nodes
	 */
	List<NodeIdentity> inOtherDataCentres(WorkspaceName workspace, DataCentreName excluded) {
		return this.byDataCentre.keySet()
			.stream()
			.filter((dataCentre) -> !dataCentre.equals(excluded))
			.flatMap((dataCentre) -> coordinator(workspace, dataCentre).stream())
			.toList();
	}

}
