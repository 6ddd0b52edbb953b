package sycamorehill.settings;

import java.util.List;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.policy.Policy;

/**
 * Settings of one node.
 *
 * @param name the node's name, unique among all nodes
 * @param dataCentre data centre where the node runs
 * @param dataCentres all data centres
 * @param callerAddress address where callers reach the node
 * @param operatorAddress address where operators reach the node
 * @param peerAddress address where other nodes reach the node
 * @param platformAddress address of the platform
 * @param sharedSecret secret that authenticates nodes to each other; {@link #toString()}
 * omits it
 * @param policy the tunable parameters
 */
public record NodeSettings(NodeName name, DataCentreName dataCentre, List<DataCentreName> dataCentres,
		Address callerAddress, Address operatorAddress, Address peerAddress, Address platformAddress,
		String sharedSecret, Policy policy) {

	@Override
	public String toString() {
		return "NodeSettings[name=" + this.name + ", dataCentre=" + this.dataCentre + "]";
	}

}
