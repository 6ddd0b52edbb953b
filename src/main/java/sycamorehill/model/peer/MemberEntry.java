package sycamorehill.model.peer;

import sycamorehill.model.identity.NodeIdentity;

/**
 * A live node as one node tells another.
 *
 * @param identity who and where it is
 * @param stopping whether it takes no new duties
 * @param heard whether the sender has heard it itself
 */
public record MemberEntry(NodeIdentity identity, boolean stopping, boolean heard) {
}
