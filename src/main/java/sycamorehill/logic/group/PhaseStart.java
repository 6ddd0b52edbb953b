package sycamorehill.logic.group;

import java.time.Instant;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;

/**
 * Since when this node has seen a group in its generation and phase.
 *
 * @param identity the group and generation
 * @param phase the phase
 * @param since own monotonic time
 */
public record PhaseStart(GroupIdentity identity, GroupPhase phase, Instant since) {

}
