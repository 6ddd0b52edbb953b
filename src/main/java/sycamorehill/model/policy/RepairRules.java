package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Rules for the repair of groups.
 *
 * @param deadAfter how long a member may be silent, without other signs of a crash,
 * before it is considered dead; a rebuild costs a complete load, while a paused member
 * resumes
 * @param standbys number of VMs claimed as standbys for each set, if its ticket requires
 * fewer
 * @param standbyInEachDomain whether that many standbys are claimed in each domain that
 * has a group
 * @param mergesBroken whether a broken group gives its members to another broken group
 * @param readsSigns whether a member counts as dead without waiting if its address
 * refuses connections or its replica reports a failure
 */
public record RepairRules(Duration deadAfter, int standbys, boolean standbyInEachDomain, boolean mergesBroken,
		boolean readsSigns) {

}
