package sycamorehill.model.membership;

import java.time.Instant;

import sycamorehill.model.identity.NodeIdentity;

/**
 * A node that is taken to be live.
 *
 * @param identity the identity of the node
 * @param stopping whether the node has reported that it is stopping, so that it takes on
 * no new duties
 * @param heardAt the monotonic time of this node at the last message or confirmation that
 * the node is live
 */
public record LiveNode(NodeIdentity identity, boolean stopping, Instant heardAt) {

}
