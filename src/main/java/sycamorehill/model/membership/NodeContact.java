package sycamorehill.model.membership;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;

/**
 * Where a node may be met that has not been heard of yet.
 *
 * @param node its name
 * @param dataCentre where it runs
 * @param peerAddress where other nodes reach it
 */
public record NodeContact(NodeName node, DataCentreName dataCentre, Address peerAddress) {

	/**
	 * An identity to send a first message to: the present incarnation is not known.
	 * @return the identity with an incarnation that no node has
	 */
	public NodeIdentity identityOfUnknownIncarnation() {
		return new NodeIdentity(NodeIncarnation.of(this.node, 0), this.dataCentre, this.peerAddress);
	}

}
