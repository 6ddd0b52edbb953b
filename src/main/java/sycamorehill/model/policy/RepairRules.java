package sycamorehill.model.policy;

import java.time.Duration;

/**
 * How groups are repaired.
 *
 * @param deadAfter how long a member that gives no other sign may be silent before it is
 * taken for dead: a rebuild costs a whole load, and a paused member comes back
 * @param standbys VMs claimed ahead of time for each set, if its ticket asks for fewer
 * @param standbyInEachDomain whether that many are claimed in each domain with a group
 * @param mergesBroken whether a broken group gives its members to another one
 * @param readsSigns whether a refused connection or a replica that says it has failed is
 * taken for a death without waiting
 */
public record RepairRules(Duration deadAfter, int standbys, boolean standbyInEachDomain, boolean mergesBroken,
		boolean readsSigns) {

}
