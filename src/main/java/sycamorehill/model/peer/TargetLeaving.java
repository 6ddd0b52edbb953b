package sycamorehill.model.peer;

import sycamorehill.model.identity.TargetName;

/**
 * Tells other nodes that a target has reported to the sender that it is leaving.
 *
 * @param target the target
 * @param generation the generation of its group, 0 for a target of a plain service
 */
public record TargetLeaving(TargetName target, long generation) implements PeerMessage {

}
