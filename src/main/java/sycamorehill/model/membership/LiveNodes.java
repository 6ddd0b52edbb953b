package sycamorehill.model.membership;

import java.util.List;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;

/**
 * The nodes taken to be alive, this one among them.
 *
 * @param nodes by name
 */
public record LiveNodes(PMap<NodeName, LiveNode> nodes) {

	/**
	 * No node at all.
	 * @return an empty view
	 */
	public static LiveNodes empty() {
		return new LiveNodes(TreePMap.empty());
	}

	/**
	 * The nodes of a data centre that take duties.
	 * @param dataCentre the data centre
	 * @return its live nodes that are not stopping, by name
	 */
	public List<LiveNode> notStoppingIn(DataCentreName dataCentre) {
		return this.nodes.values()
			.stream()
			.filter((node) -> !node.stopping() && node.identity().dataCentre().equals(dataCentre))
			.toList();
	}

	/**
	 * The nodes of a data centre.
	 * @param dataCentre the data centre
	 * @return its live nodes, stopping ones among them, by name
	 */
	public List<LiveNode> in(DataCentreName dataCentre) {
		return this.nodes.values().stream().filter((node) -> node.identity().dataCentre().equals(dataCentre)).toList();
	}

}
