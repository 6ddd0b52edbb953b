package sycamorehill.model.membership;

import java.util.List;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;

/**
 * The nodes that are taken to be live, including this node.
 *
 * @param nodes the nodes by name
 */
public record LiveNodes(PMap<NodeName, LiveNode> nodes) {

	/**
	 * Returns a view without nodes.
	 * @return an empty view
	 */
	public static LiveNodes empty() {
		return new LiveNodes(TreePMap.empty());
	}

	/**
	 * Returns the live nodes of a data centre that are not stopping and may take on new
	 * duties.
	 * @param dataCentre the data centre
	 * @return the live nodes that are not stopping, in the order of their names
	 */
	public List<LiveNode> notStoppingIn(DataCentreName dataCentre) {
		return this.nodes.values()
			.stream()
			.filter((node) -> !node.stopping() && node.identity().dataCentre().equals(dataCentre))
			.toList();
	}

	/**
	 * Returns the live nodes of a data centre, including stopping ones.
	 * @param dataCentre the data centre
	 * @return the live nodes, in the order of their names
	 */
	public List<LiveNode> in(DataCentreName dataCentre) {
		return this.nodes.values().stream().filter((node) -> node.identity().dataCentre().equals(dataCentre)).toList();
	}

}
