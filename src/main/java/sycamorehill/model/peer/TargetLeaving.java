package sycamorehill.model.peer;

import sycamorehill.model.identity.TargetName;

/**
 * A target told the sender that it is leaving.
 *
 * @param target the target
 * @param generation the generation of its group, 0 for a plain service
 */
public record TargetLeaving(TargetName target, long generation) implements PeerMessage {

}
