package sycamorehill.logic.group;

import java.time.Instant;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;

/**
 * Records since when this node has observed a group in its generation and phase.
 *
 * @param identity the group and generation
 * @param phase the phase
 * @param since the node's monotonic time of the first such observation
 */
public record PhaseStart(GroupIdentity identity, GroupPhase phase, Instant since) {

}
