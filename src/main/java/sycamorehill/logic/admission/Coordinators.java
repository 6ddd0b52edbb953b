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
 * Selects, by rendezvous hashing, the node of each data centre that coordinates the loans
 * of a workspace's limits. Two nodes that both take themselves for the coordinator do no
 * harm, because a coordinator may only use or lend what it owns or was lent.
 *
 * @param byDataCentre the live nodes that take duties, by data centre
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
	 * Returns the coordinator of a workspace in a data centre.
	 * @param workspace the workspace
	 * @param dataCentre the data centre
	 * @return the node, empty if no live node is known there
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
	 * Returns the coordinators of a workspace in the other data centres.
	 * @param workspace the workspace
	 * @param excluded the data centre to leave out
	 * @return one node for each other data centre that has live nodes
	 */
	List<NodeIdentity> inOtherDataCentres(WorkspaceName workspace, DataCentreName excluded) {
		return this.byDataCentre.keySet()
			.stream()
			.filter((dataCentre) -> !dataCentre.equals(excluded))
			.flatMap((dataCentre) -> coordinator(workspace, dataCentre).stream())
			.toList();
	}

}
