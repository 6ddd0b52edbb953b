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
 * @param dataCentre where it runs
 * @param dataCentres all data centres
 * @param callerAddress where callers reach it
 * @param operatorAddress where operators reach it
 * @param peerAddress where other nodes reach it
 * @param platformAddress where the platform listens
 * @param sharedSecret by which nodes know each other
 * @param policy the tunable bounds
 */
public record NodeSettings(NodeName name, DataCentreName dataCentre, List<DataCentreName> dataCentres,
		Address callerAddress, Address operatorAddress, Address peerAddress, Address platformAddress,
		String sharedSecret, Policy policy) {

	@Override
	public String toString() {
		return "NodeSettings[name=" + this.name + ", dataCentre=" + this.dataCentre + "]";
	}

}
