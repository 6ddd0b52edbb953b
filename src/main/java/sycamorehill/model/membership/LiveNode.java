package sycamorehill.model.membership;

import java.time.Instant;

import sycamorehill.model.identity.NodeIdentity;

/**
 * A node that is taken to be alive.
 *
 * @param identity who and where it is
 * @param stopping whether it has said that it stops: it takes no new duties
 * @param heardAt own monotonic time of the last word of it
 */
public record LiveNode(NodeIdentity identity, boolean stopping, Instant heardAt) {

}
