package sycamorehill.model.membership;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.platform.PlatformValue;

/**
 * Introduces a node to the others through the platform.
 *
 * @param identity who and where it is
 * @param announcedAt wall clock of the node in milliseconds, for readers only
 */
public record NodeAnnouncement(NodeIdentity identity, long announcedAt) implements PlatformValue {

}
