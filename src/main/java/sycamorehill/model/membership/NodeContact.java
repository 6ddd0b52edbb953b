package sycamorehill.model.membership;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;

/**
 * The address of a node from which no message has been received yet.
 *
 * @param node the name of the node
 * @param dataCentre the data centre that the node runs in
 * @param peerAddress the address at which other nodes reach it
 */
public record NodeContact(NodeName node, DataCentreName dataCentre, Address peerAddress) {

	/**
	 * Returns an identity for a first message to the node, whose current incarnation is
	 * unknown.
	 * @return the identity, with an incarnation number that no node has
	 */
	public NodeIdentity identityOfUnknownIncarnation() {
		return new NodeIdentity(NodeIncarnation.of(this.node, 0), this.dataCentre, this.peerAddress);
	}

}
