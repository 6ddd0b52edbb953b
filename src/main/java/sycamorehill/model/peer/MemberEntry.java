package sycamorehill.model.peer;

import sycamorehill.model.identity.NodeIdentity;

/**
 * A live node, as one node reports it to another.
 *
 * @param identity the identity of the node
 * @param stopping whether the node is stopping, so that it takes on no new duties
 * @param heard whether the sender itself receives heartbeats of the node
 */
public record MemberEntry(NodeIdentity identity, boolean stopping, boolean heard) {
}
