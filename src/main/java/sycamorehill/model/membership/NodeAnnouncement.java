package sycamorehill.model.membership;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.platform.PlatformValue;

/**
 * Announces a node to the other nodes by an object on the platform.
 *
 * @param identity the identity of the node
 * @param announcedAt the wall-clock time of the node in milliseconds since the epoch, for
 * information only
 */
public record NodeAnnouncement(NodeIdentity identity, long announcedAt) implements PlatformValue {

}
